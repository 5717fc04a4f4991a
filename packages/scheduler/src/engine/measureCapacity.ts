import type { Resources } from "@balsamward/schema/scheduling";
import { emptyResources } from "../state/emptyResources.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/** Resources of the workers of one service. */
export type ServiceCapacity = {
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
export function measureCapacity(workers: readonly WorkerEntry[]): ReadonlyMap<string, ServiceCapacity> {
    const workersByService = new Map<string, WorkerEntry[]>();
    for (const worker of workers) {
        const serviceWorkers = workersByService.get(worker.service) ?? [];
        serviceWorkers.push(worker);
        workersByService.set(worker.service, serviceWorkers);
    }
    return new Map([...workersByService].map(([service, members]) => [service, sumCapacity(members)]));
}

function sumCapacity(workers: readonly WorkerEntry[]): ServiceCapacity {
    const free = emptyResources();
    const capacity = emptyResources();
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
