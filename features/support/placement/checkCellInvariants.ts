import type { WorkerId } from "@balsamward/schema";
import type { Cell, GuaranteeBinding, Placement } from "../../../packages/placement/src/index.js";
import { findShortfalls, planPlacement } from "../../../packages/placement/src/index.js";
import { createCandidate } from "./createTestCell.js";

/** Descriptions of the cell after operations that violated an invariant, grouped by invariant. */
export type CellFindings = {
    readonly doubleHeld: string[];
    readonly invalidSlots: string[];
    readonly failedReclaims: string[];
    readonly shortfalls: string[];
};

/**
 * Checks the invariants of a cell and records those that do not hold.
 *
 * @param cell - The cell.
 * @param findings - Descriptions of the cell are added to it.
 */
export function checkCellInvariants(cell: Cell, findings: CellFindings): void {
    if (overlaps([...cell.allocations.values()].map(allocation => allocation.placement))) {
        findings.doubleHeld.push(describe(cell));
    }
    if (hasInvalidSlot(cell)) {
        findings.invalidSlots.push(describe(cell));
    }
    const unreclaimable = cell.bindings.filter(binding =>
        isUnusedWithSlot(binding) && !isReclaimable(cell, binding)
    );
    findings.failedReclaims.push(...unreclaimable.map(() => describe(cell)));
    if (cell.healthyAccelerators.every(mask => mask !== 0) && findShortfalls(cell).length > 0) {
        findings.shortfalls.push(describe(cell));
    }
}

/** Returns whether slots overlap, or a slot with an unhealthy worker is unused or not reported as a shortfall. */
function hasInvalidSlot(cell: Cell): boolean {
    const slots = cell.bindings.flatMap(binding => binding.slot === undefined ? [] : [binding.slot]);
    const shortfalls = findShortfalls(cell);
    const damaged = cell.bindings.filter(binding => isDamaged(cell, binding.slot ?? []));
    return overlaps(slots)
        || damaged.some(binding => binding.job === undefined || !shortfalls.includes(binding));
}

/** Returns whether no job uses a guarantee that has a slot. */
function isUnusedWithSlot(binding: GuaranteeBinding): boolean {
    return binding.job === undefined && binding.slot !== undefined;
}

/** Returns whether a guarantee can be used at once by preempting borrowing jobs only. */
function isReclaimable(cell: Cell, { gang }: GuaranteeBinding): boolean {
    const candidate = createCandidate("reclaim", gang.customer, gang.shape, 1);
    const plan = planPlacement(cell, { ...candidate, preemptible: false });
    return plan.isOk()
        && plan.value.victims.every(victim => cell.allocations.get(victim)!.standing.kind === "borrowed");
}

function isDamaged(cell: Cell, slot: Placement): boolean {
    return slot.some(placed =>
        (placed.accelerators & ~cell.healthyAccelerators[cell.workerIndex.get(placed.worker)!]!) !== 0
    );
}

function overlaps(placements: readonly Placement[]): boolean {
    const taken = new Map<WorkerId, number>();
    return placements.flat().some(placed => {
        const mask = taken.get(placed.worker) ?? 0;
        taken.set(placed.worker, mask | placed.accelerators);
        return (mask & placed.accelerators) !== 0;
    });
}

function describe(cell: Cell): string {
    return JSON.stringify({
        allocations: [...cell.allocations.values()],
        bindings: cell.bindings,
        healthyAccelerators: [...cell.healthyAccelerators],
    });
}
