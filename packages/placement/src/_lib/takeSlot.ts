import type { Cell } from "../Cell.js";
import { findPlacement } from "../findPlacement.js";
import type { GangShape } from "../GangShape.js";
import type { Placement } from "../Placement.js";
import { subtractPlacement } from "./capacities.js";
import type { Capacity } from "./Capacity.js";

/**
 * Finds a slot for a guaranteed gang and removes it from a capacity, in place.
 *
 * @param cell - The cell.
 * @param capacity - The accelerators that may be used; unchanged if the gang does not fit.
 * @param shape - The shape of the gang.
 * @returns The slot, or `undefined` if the gang does not fit.
 */
export function takeSlot(cell: Cell, capacity: Capacity, shape: GangShape): Placement | undefined {
    const slot = findPlacement(cell.topology, capacity, shape);
    if (slot !== undefined) {
        subtractPlacement(cell, capacity, slot);
    }
    return slot;
}
