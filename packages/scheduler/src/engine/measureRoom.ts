import type { Resources, Step } from "@balsamward/schema/scheduling";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/** Resources of the workers of one service. */
export type Room = {
    /** Largest share of a resource that is in use, from 0 to 1. */
    readonly usedShare: number;
    /** What no run takes up. */
    readonly free: Resources;
};

const KINDS = ["cpuMillis", "memoryMb", "accelerators"] as const;

/**
 * Measures the room of each service.
 *
 * @param workers - Usable workers.
 * @returns The room by service.
 */
export function measureRoom(workers: readonly WorkerEntry[]): ReadonlyMap<string, Room> {
    const services = new Map<string, WorkerEntry[]>();
    for (const worker of workers) {
        const members = services.get(worker.service) ?? [];
        members.push(worker);
        services.set(worker.service, members);
    }
    return new Map([...services].map(([service, members]) => [service, sumUp(members)]));
}

/**
 * Returns how often a whole step would fit into free resources if these lay on one worker.
 *
 * @param free - The resources.
 * @param step - The step.
 * @returns The least multiple over all resources.
 */
export function countFits(free: Resources, { request, taskCount }: Step): number {
    return Math.min(...KINDS.map(kind => {
        const needed = (request?.[kind] ?? 0) * taskCount;
        return needed > 0 ? free[kind] / needed : Number.POSITIVE_INFINITY;
    }));
}

function sumUp(workers: readonly WorkerEntry[]): Room {
    const free: Resources = {
        $typeName: "balsamward.scheduling.v1.Resources",
        cpuMillis: 0,
        memoryMb: 0,
        accelerators: 0,
    };
    const capacity = { ...free };
    for (const worker of workers) {
        for (const kind of KINDS) {
            free[kind] += Math.max(0, worker.free[kind]);
            capacity[kind] += worker.capacity[kind];
        }
    }
    const shares = KINDS.filter(kind => capacity[kind] > 0).map(kind => 1 - free[kind] / capacity[kind]);
    return { usedShare: Math.max(0, ...shares), free };
}
