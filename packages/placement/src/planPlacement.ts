import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { createPlacementError } from "./_lib/createPlacementError.js";
import { planBorrowed } from "./_lib/planBorrowed.js";
import { planGuaranteed } from "./_lib/planGuaranteed.js";
import type { Candidate } from "./Candidate.js";
import type { Cell, GuaranteeBinding } from "./Cell.js";
import { countAccelerators } from "./countAccelerators.js";
import type { PlacementError } from "./PlacementError.js";
import type { PlacementPlan } from "./PlacementPlan.js";
import { shapeFits } from "./shapeFits.js";

/**
 * Plans the placement of a job without changing the cell.
 *
 * A job that fits an unused guarantee of its customer uses that guarantee: on free accelerators if the
 * other guarantees stay reclaimable, otherwise on the guarantee's own slot, whose borrowers are preempted.
 * Any other job borrows free accelerators and preempts only borrowing jobs that are less urgent.
 *
 * @param cell - The cell.
 * @param candidate - The job.
 * @returns The plan, or the constraint that prevents a placement and when it ends.
 *
 * @example
 * planPlacement(cell, candidate).map(plan => plan.victims);
 */
export function planPlacement(cell: Cell, candidate: Candidate): Result<PlacementPlan, PlacementError> {
    const binding = findUnusedBinding(cell, candidate);
    if (binding !== undefined) {
        const plan = planGuaranteed(cell, candidate, binding);
        if (plan !== undefined) {
            return ok(plan);
        }
    }
    if (!candidate.preemptible) {
        return err(createPlacementError(cell, candidate, binding));
    }
    const plan = planBorrowed(cell, candidate);
    return plan === undefined ? err(createPlacementError(cell, candidate, binding)) : ok(plan);
}

/** Finds the smallest unused guarantee of the customer that fits the job. */
function findUnusedBinding(cell: Cell, candidate: Candidate): GuaranteeBinding | undefined {
    return cell.bindings
        .filter(binding =>
            binding.job === undefined
            && binding.gang.customer === candidate.customer
            && shapeFits(candidate.shape, binding.gang.shape)
        )
        .sort((left, right) => countAccelerators(left.gang.shape) - countAccelerators(right.gang.shape))[0];
}
