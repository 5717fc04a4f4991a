import type { JobId, WorkerId } from "@balsamward/schema";
import { bindGuarantees } from "./bindGuarantees.js";
import type { Cell } from "./Cell.js";

/**
 * Records that a worker became healthy or unhealthy.
 *
 * The accelerators of an unhealthy worker are not used; unused guarantees move their slots to other workers.
 *
 * @param cell - The cell to change.
 * @param worker - Id of the worker; ignored if the worker is not in the cell.
 * @param healthy - Whether the worker can run tasks.
 * @returns The jobs that hold accelerators of the worker. The caller must stop all their members.
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
