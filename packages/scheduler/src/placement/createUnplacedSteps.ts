import type { Step } from "@balsamward/schema/scheduling";

/** What has to be free for a step: room for one task, or for a whole gang in one rack or anywhere. */
export type PlacementScope = "task" | "rack" | "fleet";

/** Steps for which a pass found no room. */
export type UnplacedSteps = {
    /** Records that a group of workers has no room for a step. */
    readonly add: (group: string, step: Step, scope: PlacementScope) => void;
    /** Returns whether a group certainly has no room for a step, since a smaller one found none. */
    readonly covers: (group: string, step: Step, scope: PlacementScope) => boolean;
};

/** Resources that a group of workers does not have. */
type Demand = {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
    /** Number of tasks that have to fit together. */
    readonly taskCount: number;
};

/**
 * Creates an empty record of unplaced steps.
 *
 * While free capacity only shrinks, a step does not fit where one that needs no more of anything did not. So a pass
 * over a full fleet looks at few steps, however many wait.
 *
 * @returns The record; it holds as long as no capacity becomes free.
 *
 * @example
 * unplaced.add("service", stepOf4Accelerators, "task");
 * unplaced.covers("service", stepOf8Accelerators, "task"); // true
 */
export function createUnplacedSteps(): UnplacedSteps {
    const demands = new Map<string, Demand[]>();
    const coversScope = (group: string, demand: Demand, scope: PlacementScope): boolean =>
        demands.get(`${scope}|${group}`)?.some(smaller => isAtMost(smaller, demand)) ?? false;
    return {
        add: (group, step, scope) => {
            const key = `${scope}|${group}`;
            const added = getDemand(step, scope);
            const others = demands.get(key)?.filter(demand => !isAtMost(added, demand)) ?? [];
            demands.set(key, [...others, added]);
        },
        covers: (group, step, scope) =>
            coversScope(group, getDemand(step, "task"), "task")
            || scope !== "task" && coversScope(group, getDemand(step, scope), scope),
    };
}

function getDemand({ request, taskCount, fillsIdle }: Step, scope: PlacementScope): Demand {
    return {
        // A step that needs no CPU does not fit on a worker whose runs need more CPU than it has; this one does.
        cpuMillis: fillsIdle ? Number.NEGATIVE_INFINITY : request?.cpuMillis ?? 0,
        memoryMb: request?.memoryMb ?? 0,
        accelerators: request?.accelerators ?? 0,
        taskCount: scope === "task" ? 1 : taskCount,
    };
}

function isAtMost(left: Demand, right: Demand): boolean {
    return left.accelerators <= right.accelerators
        && left.cpuMillis <= right.cpuMillis
        && left.memoryMb <= right.memoryMb
        && left.taskCount <= right.taskCount;
}
