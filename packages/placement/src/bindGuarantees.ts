import { fitsCapacity, reclaimableCapacity, subtractPlacement } from "./_lib/capacities.js";
import type { Capacity } from "./_lib/Capacity.js";
import { takeSlot } from "./_lib/takeSlot.js";
import type { Cell, GuaranteeBinding } from "./Cell.js";
import { countAccelerators } from "./countAccelerators.js";
import type { GangShape } from "./GangShape.js";

/**
 * Assigns a slot of free or borrowed accelerators to every unused guarantee.
 *
 * Keeps the slots that are still valid. If the other guarantees do not fit beside them, assigns the slots
 * of all unused guarantees again, largest gang first. A guarantee that fits nowhere has no slot.
 *
 * @param cell - The cell; its bindings are replaced.
 * @returns The shortfalls, as `findShortfalls` returns them.
 *
 * @example
 * const shortfalls = bindGuarantees(cell);
 */
export function bindGuarantees(cell: Cell): readonly GuaranteeBinding[] {
    cell.bindings = keepSlots(cell) ?? packSlots(cell);
    return findShortfalls(cell);
}

/**
 * Finds the guarantees whose whole gang the healthy workers cannot hold.
 *
 * @param cell - The cell.
 * @returns The bindings that have no slot, and those whose slot includes an unhealthy or removed worker.
 *
 * @example
 * findShortfalls(cell).length; // 0 in a healthy cell
 */
export function findShortfalls(cell: Cell): readonly GuaranteeBinding[] {
    return cell.bindings.filter(({ slot }) =>
        slot === undefined || !fitsCapacity(cell, cell.healthyAccelerators, slot)
    );
}

function keepSlots(cell: Cell): readonly GuaranteeBinding[] | undefined {
    const capacity = reclaimableCapacity(cell);
    const kept = cell.bindings.map(binding => keepSlot(cell, capacity, binding));
    const bound = kept.map(binding => assignSlot(cell, capacity, binding));
    return bound.every(binding => binding.job !== undefined || binding.slot !== undefined)
        ? bound
        : undefined;
}

function keepSlot(cell: Cell, capacity: Capacity, binding: GuaranteeBinding): GuaranteeBinding {
    if (binding.job !== undefined) {
        return binding;
    }
    if (binding.slot === undefined || !fitsCapacity(cell, capacity, binding.slot)) {
        return { gang: binding.gang, job: undefined, slot: undefined };
    }
    subtractPlacement(cell, capacity, binding.slot);
    return binding;
}

function assignSlot(cell: Cell, capacity: Capacity, binding: GuaranteeBinding): GuaranteeBinding {
    if (binding.job !== undefined || binding.slot !== undefined) {
        return binding;
    }
    return { gang: binding.gang, job: undefined, slot: takeSlot(cell, capacity, binding.gang.shape) };
}

function packSlots(cell: Cell): readonly GuaranteeBinding[] {
    const capacity = reclaimableCapacity(cell);
    return cell.bindings
        .map(binding =>
            binding.job === undefined ? { gang: binding.gang, job: undefined, slot: undefined } : binding
        )
        .sort((left, right) => comparePackingOrder(left.gang.shape, right.gang.shape))
        .map(binding => assignSlot(cell, capacity, binding));
}

/**
 * Compares shapes for packing: more accelerators first, then tighter adjacency, then larger members.
 *
 * @param left - A shape.
 * @param right - Another shape.
 * @returns A negative number if `left` is packed first.
 *
 * @example
 * shapes.toSorted(comparePackingOrder);
 */
export function comparePackingOrder(left: GangShape, right: GangShape): number {
    return countAccelerators(right) - countAccelerators(left)
        || left.adjacency - right.adjacency
        || right.acceleratorsPerMember - left.acceleratorsPerMember;
}
