import type { JobId } from "@balsamward/schema";
import type { Allocation } from "./Allocation.js";
import { bindGuarantees } from "./bindGuarantees.js";
import type { Cell, GuaranteeBinding } from "./Cell.js";
import type { Placement } from "./Placement.js";

/**
 * Records that a job holds accelerators.
 *
 * A guaranteed job uses one unused gang of its guarantee; unused guarantees whose slots it overlaps
 * get new slots. The caller must release the plan's victims first.
 *
 * @param cell - The cell to change.
 * @param allocation - The job with its accelerators.
 *
 * @example
 * recordAllocation(cell, { job, customer, urgency: 2, standing: plan.standing, placement: plan.placement });
 */
export function recordAllocation(cell: Cell, allocation: Allocation): void {
    cell.allocations.set(allocation.job, allocation);
    markAccelerators(cell, allocation, true);
    if (allocation.standing.kind === "guaranteed") {
        bindAllocation(cell, allocation);
        bindGuarantees(cell);
    }
}

/**
 * Records that a job no longer holds accelerators.
 *
 * @param cell - The cell to change.
 * @param job - Id of the job.
 * @returns The accelerators that became free, or `undefined` if there were none.
 *
 * @example
 * releaseAllocation(cell, job);
 */
export function releaseAllocation(cell: Cell, job: JobId): Placement | undefined {
    const allocation = cell.allocations.get(job);
    if (allocation === undefined) {
        return undefined;
    }
    cell.allocations.delete(job);
    markAccelerators(cell, allocation, false);
    if (allocation.standing.kind === "guaranteed") {
        cell.bindings = cell.bindings.map(binding => unbindAllocation(binding, allocation));
        bindGuarantees(cell);
    }
    return allocation.placement;
}

function markAccelerators(cell: Cell, allocation: Allocation, held: boolean): void {
    for (const placed of allocation.placement) {
        const index = cell.workerIndex.get(placed.worker);
        if (index === undefined) {
            continue;
        }
        cell.heldAccelerators[index] = held
            ? cell.heldAccelerators[index]! | placed.accelerators
            : cell.heldAccelerators[index]! & ~placed.accelerators;
    }
}

function bindAllocation(cell: Cell, allocation: Allocation): void {
    const { standing, customer, job } = allocation;
    if (standing.kind !== "guaranteed") {
        return;
    }
    const unusedBinding = cell.bindings.find(binding =>
        binding.job === undefined
        && binding.gang.customer === customer
        && binding.gang.guarantee === standing.guarantee
    );
    cell.bindings = cell.bindings.map(binding =>
        binding === unusedBinding ? { gang: binding.gang, job, slot: standing.slot } : binding
    );
}

function unbindAllocation(binding: GuaranteeBinding, allocation: Allocation): GuaranteeBinding {
    return binding.job === allocation.job
        ? { gang: binding.gang, job: undefined, slot: binding.slot }
        : binding;
}
