import type { Resources } from "@balsamward/schema/scheduling";
import { createEmptyResources } from "../../state/createEmptyResources.js";
import { RESOURCE_KINDS } from "../../state/ResourceAmounts.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";

/** Used and free resources of the workers of one service. */
export type ServiceCapacity = {
    /** Share of the most used kind of resource that is in use, from 0 to 1. */
    readonly usedShare: number;
    /** Resources that no run uses. */
    readonly free: Resources;
    /** All resources. */
    readonly total: Resources;
};

/**
 * Measures the capacity of each service.
 *
 * @param workers - The workers.
 * @returns The capacity by service.
 */
export function measureCapacity(workers: readonly WorkerEntry[]): ReadonlyMap<string, ServiceCapacity> {
    const workersByService = new Map<string, WorkerEntry[]>();
    for (const worker of workers) {
        const serviceWorkers = workersByService.get(worker.service) ?? [];
        serviceWorkers.push(worker);
        workersByService.set(worker.service, serviceWorkers);
    }
    return new Map(
        [...workersByService].map(([service, serviceWorkers]) => [service, sumCapacity(serviceWorkers)]),
    );
}

function sumCapacity(workers: readonly WorkerEntry[]): ServiceCapacity {
    const free = createEmptyResources();
    const total = createEmptyResources();
    for (const worker of workers) {
        for (const kind of RESOURCE_KINDS) {
            free[kind] += Math.max(0, worker.free[kind]);
            total[kind] += worker.capacity[kind];
        }
    }
    const shares = RESOURCE_KINDS.filter(kind => total[kind] > 0).map(kind => 1 - free[kind] / total[kind]);
    return { usedShare: Math.max(0, ...shares), free, total };
}
