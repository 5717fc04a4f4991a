import type { JobId, WorkerId } from "@balsamward/schema";
import { bindGuarantees } from "./bindGuarantees.js";
import type { Cell } from "./Cell.js";

/**
 * Records that a worker became healthy or unhealthy.
 *
 * No accelerator of an unhealthy worker is used, and guarantees move their slots elsewhere.
 *
 * @param cell - The cell to change.
 * @param worker - The worker; one that the cell does not have is passed over.
 * @param healthy - Whether the worker can run tasks.
 * @returns The jobs that hold accelerators of the worker; the caller stops them whole.
 *
 * @example
 * const jobs = setWorkerHealth(cell, worker, false);
 */
export function setWorkerHealth(cell: Cell, worker: WorkerId, healthy: boolean): readonly JobId[] {
    const index = cell.workerIndex.get(worker);
    if (index === undefined) {
        return [];
    }
    cell.healthyAccelerators[index] = healthy ? (1 << cell.topology.workers[index]!.accelerators) - 1 : 0;
    bindGuarantees(cell);
    return [...cell.allocations.values()]
        .filter(allocation => allocation.placement.some(placed => placed.worker === worker))
        .map(allocation => allocation.job);
}
