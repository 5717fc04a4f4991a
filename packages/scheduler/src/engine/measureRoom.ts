import type { Resources } from "@balsamward/schema/scheduling";
import { createEmptyResources } from "../state/createEmptyResources.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/** Resources of the workers of one service. */
export type ServiceRoom = {
    /** Largest share of a resource that is in use, from 0 to 1. */
    readonly usedShare: number;
    /** What no run takes up. */
    readonly free: Resources;
};

/** The kinds of resources. */
export const RESOURCE_KINDS = ["cpuMillis", "memoryMb", "accelerators"] as const;

/**
 * Measures the room of each service.
 *
 * @param workers - Usable workers.
 * @returns The room by service.
 */
export function measureRoom(workers: readonly WorkerEntry[]): ReadonlyMap<string, ServiceRoom> {
    const services = new Map<string, WorkerEntry[]>();
    for (const worker of workers) {
        const members = services.get(worker.service) ?? [];
        members.push(worker);
        services.set(worker.service, members);
    }
    return new Map([...services].map(([service, members]) => [service, sumUp(members)]));
}

function sumUp(workers: readonly WorkerEntry[]): ServiceRoom {
    const free = createEmptyResources();
    const capacity = createEmptyResources();
    for (const worker of workers) {
        for (const kind of RESOURCE_KINDS) {
            free[kind] += Math.max(0, worker.free[kind]);
            capacity[kind] += worker.capacity[kind];
        }
    }
    const shares = RESOURCE_KINDS.filter(kind => capacity[kind] > 0).map(kind =>
        1 - free[kind] / capacity[kind]
    );
    return { usedShare: Math.max(0, ...shares), free };
}
