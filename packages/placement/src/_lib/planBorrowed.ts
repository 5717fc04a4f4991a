import type { Candidate } from "../Candidate.js";
import type { Cell } from "../Cell.js";
import { findPlacement } from "../findPlacement.js";
import type { PlacementPlan } from "../PlacementPlan.js";
import { freeCapacity, subtractSlots } from "./capacities.js";
import type { Capacity } from "./Capacity.js";
import { findHoldingJobs } from "./findHoldingJobs.js";

/**
 * Plans the placement of a job that borrows accelerators.
 *
 * Prefers free accelerators outside the slots of guarantees, then any free ones, and only then preempts borrowing
 * jobs that are less urgent.
 *
 * @param cell - The cell.
 * @param candidate - The job.
 * @returns The plan, or `undefined` if the job does not fit.
 */
export function planBorrowed(cell: Cell, candidate: Candidate): PlacementPlan | undefined {
    const standing = { kind: "borrowed" } as const;
    const unreserved = freeCapacity(cell);
    subtractSlots(cell, unreserved);
    const free = findPlacement(cell.topology, unreserved, candidate.shape)
        ?? findPlacement(cell.topology, freeCapacity(cell), candidate.shape);
    if (free !== undefined) {
        return { placement: free, standing, victims: [] };
    }
    const placement = findPlacement(
        cell.topology,
        lessUrgentCapacity(cell, candidate.urgency),
        candidate.shape,
    );
    return placement === undefined
        ? undefined
        : { placement, standing, victims: findHoldingJobs(cell, placement) };
}

/** Returns the free accelerators and those of less urgent borrowing jobs. */
function lessUrgentCapacity(cell: Cell, urgency: number): Capacity {
    const capacity = freeCapacity(cell);
    for (const allocation of cell.allocations.values()) {
        if (allocation.standing.kind === "guaranteed" || allocation.urgency >= urgency) {
            continue;
        }
        for (const placed of allocation.placement) {
            const index = cell.workerIndex.get(placed.worker);
            if (index !== undefined) {
                capacity[index]! |= placed.accelerators & cell.healthyAccelerators[index]!;
            }
        }
    }
    return capacity;
}
