import type { Cell, GuaranteeBinding } from "../Cell.js";
import type { Placement } from "../Placement.js";
import type { Capacity } from "./Capacity.js";
import { countBits } from "./countBits.js";

/**
 * Returns the accelerators of healthy workers that no job holds.
 *
 * @param cell - The cell.
 * @returns One mask per worker.
 */
export function freeCapacity(cell: Cell): Capacity {
    return cell.healthyAccelerators.map((mask, index) => mask & ~cell.heldAccelerators[index]!);
}

/**
 * Returns the accelerators of healthy workers that lie outside the slots of guarantees in use.
 *
 * @param cell - The cell.
 * @returns One mask per worker.
 */
export function reclaimableCapacity(cell: Cell): Capacity {
    const capacity = cell.healthyAccelerators.slice();
    for (const binding of cell.bindings) {
        if (binding.job !== undefined && binding.slot !== undefined) {
            subtractPlacement(cell, capacity, binding.slot);
        }
    }
    return capacity;
}

/**
 * Returns the accelerators that are in both of two capacities.
 *
 * @param left - A capacity.
 * @param right - Another capacity of the same cell.
 * @returns One mask per worker.
 */
export function intersectCapacities(left: Capacity, right: Capacity): Capacity {
    return left.map((mask, index) => mask & right[index]!);
}

/**
 * Counts the accelerators of a capacity.
 *
 * @param capacity - The capacity.
 * @returns The number of accelerators of all workers together.
 */
export function countCapacity(capacity: Capacity): number {
    return capacity.reduce((sum, mask) => sum + countBits(mask), 0);
}

/**
 * Removes a placement from a capacity, in place.
 *
 * @param cell - The cell that contains the workers.
 * @param capacity - The capacity to change.
 * @param placement - The accelerators to remove.
 */
export function subtractPlacement(cell: Cell, capacity: Capacity, placement: Placement): void {
    for (const placed of placement) {
        const index = cell.workerIndex.get(placed.worker);
        if (index !== undefined) {
            capacity[index]! &= ~placed.accelerators;
        }
    }
}

/**
 * Removes the slots of guarantees from a capacity, in place.
 *
 * @param cell - The cell.
 * @param capacity - The capacity to change.
 * @param except - A binding whose slot is not removed.
 */
export function subtractSlots(cell: Cell, capacity: Capacity, except?: GuaranteeBinding): void {
    for (const binding of cell.bindings) {
        if (binding !== except && binding.slot !== undefined) {
            subtractPlacement(cell, capacity, binding.slot);
        }
    }
}

/**
 * Tells whether a placement lies entirely within a capacity.
 *
 * @param cell - The cell that contains the workers.
 * @param capacity - The accelerators that may be used.
 * @param placement - The placement to test.
 * @returns Whether every accelerator of the placement is in the capacity.
 */
export function fitsCapacity(cell: Cell, capacity: Capacity, placement: Placement): boolean {
    return placement.every(placed => {
        const index = cell.workerIndex.get(placed.worker);
        return index !== undefined && (placed.accelerators & ~capacity[index]!) === 0;
    });
}

/**
 * Converts a placement to a capacity, leaving out unhealthy workers.
 *
 * @param cell - The cell that contains the workers.
 * @param placement - The placement to convert.
 * @returns One mask per worker.
 */
export function placementCapacity(cell: Cell, placement: Placement): Capacity {
    const capacity = new Uint16Array(cell.healthyAccelerators.length);
    for (const placed of placement) {
        const index = cell.workerIndex.get(placed.worker);
        if (index !== undefined) {
            capacity[index] = placed.accelerators & cell.healthyAccelerators[index]!;
        }
    }
    return capacity;
}
