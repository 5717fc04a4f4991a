import type { JobId } from "@balsamward/schema";
import { bindGuarantees } from "./bindGuarantees.js";
import type { Cell, UnitBinding } from "./Cell.js";
import type { Holding } from "./Holding.js";
import type { Placement } from "./Placement.js";

/**
 * Records that a job holds accelerators.
 *
 * A guaranteed job uses up one unused gang of its guarantee. The caller has released the
 * plan's victims before; unused guarantees get new slots where the job took theirs.
 *
 * @param cell - The cell to change.
 * @param holding - The job and its accelerators.
 *
 * @example
 * occupyCell(cell, { job, customer, urgency: 2, standing: plan.standing, placement: plan.placement });
 */
export function occupyCell(cell: Cell, holding: Holding): void {
    cell.holdings.set(holding.job, holding);
    mark(cell, holding, true);
    if (holding.standing.kind === "guaranteed") {
        assignUnit(cell, holding);
        bindGuarantees(cell);
    }
}

/**
 * Records that a job holds nothing any more.
 *
 * @param cell - The cell to change.
 * @param job - The job; nothing happens if it holds nothing.
 * @returns The accelerators that became free, or `undefined` if there were none.
 *
 * @example
 * releaseCell(cell, job);
 */
export function releaseCell(cell: Cell, job: JobId): Placement | undefined {
    const holding = cell.holdings.get(job);
    if (holding === undefined) {
        return undefined;
    }
    cell.holdings.delete(job);
    mark(cell, holding, false);
    if (holding.standing.kind === "guaranteed") {
        cell.bindings = cell.bindings.map(binding => freeBinding(binding, holding));
        bindGuarantees(cell);
    }
    return holding.placement;
}

function mark(cell: Cell, holding: Holding, taken: boolean): void {
    for (const placed of holding.placement) {
        const index = cell.workerIndex.get(placed.worker);
        if (index === undefined) {
            continue;
        }
        cell.held[index] = taken
            ? cell.held[index]! | placed.accelerators
            : cell.held[index]! & ~placed.accelerators;
    }
}

function assignUnit(cell: Cell, holding: Holding): void {
    const { standing, customer, job } = holding;
    if (standing.kind !== "guaranteed") {
        return;
    }
    const free = cell.bindings.find(binding =>
        binding.user === undefined
        && binding.unit.customer === customer
        && binding.unit.guarantee === standing.guarantee
    );
    cell.bindings = cell.bindings.map(binding =>
        binding === free ? { unit: binding.unit, user: job, slot: standing.slot } : binding
    );
}

function freeBinding(binding: UnitBinding, holding: Holding): UnitBinding {
    return binding.user === holding.job
        ? { unit: binding.unit, user: undefined, slot: binding.slot }
        : binding;
}
