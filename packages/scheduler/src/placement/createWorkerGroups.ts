import type { Resources, Step } from "@balsamward/schema/scheduling";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { countFittingTasksIn } from "./countFittingTasks.js";

/** Workers of one service that have a label. */
export type WorkerGroup = {
    /** Key of the group, unique among the groups. */
    readonly key: string;
    /** Workers on which runs may be started now. */
    readonly workers: readonly WorkerEntry[];
    /** Returns the workers on which runs may be started now or later. */
    readonly listNonDraining: () => readonly WorkerEntry[];
    /** Returns whether any rack of the group could hold a whole gang if nothing else ran there. */
    readonly fitsEmptyRack: (step: Step) => boolean;
};

/** Groups of workers, which are formed when they are first needed. */
export type WorkerGroups = {
    /** Returns the workers of a service that have a label; every worker has the empty label. */
    readonly get: (service: string, label: string) => WorkerGroup;
};

/** Workers of one rack with the same capacity. */
type RackPart = { readonly capacity: Resources; count: number };

/**
 * Creates the groups of workers for a placement pass.
 *
 * @param workers - Workers on which runs may be started now.
 * @param nonDrainingWorkers - Workers on which runs may be started now or later.
 * @returns The groups. They hold as long as no worker changes its service, labels or capacity.
 */
export function createWorkerGroups(
    workers: readonly WorkerEntry[],
    nonDrainingWorkers: readonly WorkerEntry[],
): WorkerGroups {
    const groups = new Map<string, WorkerGroup>();
    return {
        get: (service, label) => {
            const key = `${service}|${label}`;
            const existing = groups.get(key);
            if (existing !== undefined) {
                return existing;
            }
            const isMember = (worker: WorkerEntry): boolean =>
                worker.service === service && (label === "" || worker.labels.includes(label));
            let nonDraining: readonly WorkerEntry[] | undefined;
            const listNonDraining = (): readonly WorkerEntry[] =>
                nonDraining ??= nonDrainingWorkers.filter(isMember);
            let racks: ReadonlyMap<string, readonly RackPart[]> | undefined;
            const group: WorkerGroup = {
                key,
                workers: workers.filter(isMember),
                listNonDraining,
                fitsEmptyRack: step => {
                    racks ??= groupByRack(listNonDraining());
                    return [...racks.values()].some(parts => countSlots(parts, step) >= step.taskCount);
                },
            };
            groups.set(key, group);
            return group;
        },
    };
}

function groupByRack(workers: readonly WorkerEntry[]): ReadonlyMap<string, readonly RackPart[]> {
    const racks = new Map<string, RackPart[]>();
    for (const { rack, capacity } of workers) {
        const parts = racks.get(rack) ?? [];
        const part = parts.find(candidate => isSame(candidate.capacity, capacity));
        if (part === undefined) {
            parts.push({ capacity, count: 1 });
        }
        else {
            part.count += 1;
        }
        racks.set(rack, parts);
    }
    return racks;
}

function isSame(left: Resources, right: Resources): boolean {
    return left.cpuMillis === right.cpuMillis
        && left.memoryMb === right.memoryMb
        && left.accelerators === right.accelerators;
}

function countSlots(parts: readonly RackPart[], step: Step): number {
    return parts.reduce(
        (sum, { capacity, count }) => sum + count * countFittingTasksIn(capacity, step, 0),
        0,
    );
}
