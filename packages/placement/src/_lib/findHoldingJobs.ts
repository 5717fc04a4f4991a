import type { JobId } from "@balsamward/schema";
import type { Cell } from "../Cell.js";
import type { Placement } from "../Placement.js";

/**
 * Finds the jobs that hold accelerators of a placement.
 *
 * @param cell - The cell.
 * @param placement - The placement, which may overlap allocations.
 * @returns The jobs to preempt before the placement can be used.
 */
export function findHoldingJobs(cell: Cell, placement: Placement): readonly JobId[] {
    const masksByWorker = new Map(placement.map(placed => [placed.worker, placed.accelerators]));
    return [...cell.allocations.values()]
        .filter(allocation =>
            allocation.placement.some(placed => (masksByWorker.get(placed.worker) ?? 0) & placed.accelerators)
        )
        .map(allocation => allocation.job);
}
