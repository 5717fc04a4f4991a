import { fitsCapacity, reclaimableCapacity, subtractPlacement } from "./_lib/capacities.js";
import type { Capacity } from "./_lib/Capacity.js";
import type { Cell, UnitBinding } from "./Cell.js";
import { findPlacement } from "./findPlacement.js";
import type { GangShape } from "./GangShape.js";

/**
 * Gives every unused guarantee a slot of accelerators that are free or borrowed.
 *
 * Slots that are still valid stay. If the rest does not fit beside them, all slots are packed
 * anew, the largest gang first. A guarantee that fits nowhere is left without a slot.
 *
 * @param cell - The cell; its bindings are replaced.
 * @returns The bindings that have no slot and no user: the guarantees that cannot be reclaimed.
 *
 * @example
 * const shortfalls = bindGuarantees(cell);
 */
export function bindGuarantees(cell: Cell): readonly UnitBinding[] {
    cell.bindings = keepSlots(cell) ?? packSlots(cell);
    return findShortfalls(cell);
}

/**
 * Returns the guarantees that the healthy workers do not hold whole.
 *
 * @param cell - The cell.
 * @returns The bindings without a slot, and those in use whose slot has lost a worker beside the user's.
 *
 * @example
 * findShortfalls(cell).length; // 0 in a healthy cell
 */
export function findShortfalls(cell: Cell): readonly UnitBinding[] {
    return cell.bindings.filter(({ slot }) => slot === undefined || !fitsCapacity(cell, cell.healthy, slot));
}

function keepSlots(cell: Cell): readonly UnitBinding[] | undefined {
    const capacity = reclaimableCapacity(cell);
    const kept = cell.bindings.map(binding => keepSlot(cell, capacity, binding));
    const bound = kept.map(binding => findSlot(cell, capacity, binding));
    return bound.every(binding => binding.user !== undefined || binding.slot !== undefined)
        ? bound
        : undefined;
}

function keepSlot(cell: Cell, capacity: Capacity, binding: UnitBinding): UnitBinding {
    if (binding.user !== undefined) {
        return binding;
    }
    if (binding.slot === undefined || !fitsCapacity(cell, capacity, binding.slot)) {
        return { unit: binding.unit, user: undefined, slot: undefined };
    }
    subtractPlacement(cell, capacity, binding.slot);
    return binding;
}

function findSlot(cell: Cell, capacity: Capacity, binding: UnitBinding): UnitBinding {
    if (binding.user !== undefined || binding.slot !== undefined) {
        return binding;
    }
    const slot = findPlacement(cell.topology, capacity, binding.unit.shape);
    if (slot !== undefined) {
        subtractPlacement(cell, capacity, slot);
    }
    return { unit: binding.unit, user: undefined, slot };
}

function packSlots(cell: Cell): readonly UnitBinding[] {
    const capacity = reclaimableCapacity(cell);
    return cell.bindings
        .map(binding =>
            binding.user === undefined ? { unit: binding.unit, user: undefined, slot: undefined } : binding
        )
        .sort((left, right) => compareShapes(left.unit.shape, right.unit.shape))
        .map(binding => findSlot(cell, capacity, binding));
}

/**
 * Orders shapes for packing: the tightest adjacency of the largest total first.
 *
 * @param left - A shape.
 * @param right - Another shape.
 * @returns A negative number if `left` is packed first.
 *
 * @example
 * shapes.toSorted(compareShapes);
 */
export function compareShapes(left: GangShape, right: GangShape): number {
    const leftTotal = left.members * left.acceleratorsPerMember;
    const rightTotal = right.members * right.acceleratorsPerMember;
    return rightTotal - leftTotal
        || left.adjacency - right.adjacency
        || right.acceleratorsPerMember - left.acceleratorsPerMember;
}
