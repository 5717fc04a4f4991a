import type { Candidate } from "../Candidate.js";
import type { Cell, GuaranteeBinding } from "../Cell.js";
import { findPlacement } from "../findPlacement.js";
import type { GangShape } from "../GangShape.js";
import type { Placement } from "../Placement.js";
import type { PlacementPlan } from "../PlacementPlan.js";
import {
    fitsCapacity,
    freeCapacity,
    intersectCapacities,
    placementCapacity,
    reclaimableCapacity,
    subtractPlacement,
    subtractSlots,
} from "./capacities.js";
import type { Capacity } from "./Capacity.js";
import { findHoldingJobs } from "./findHoldingJobs.js";
import { takeSlot } from "./takeSlot.js";

/**
 * Plans the placement of a job under an unused guarantee of its customer.
 *
 * Takes free accelerators if the other guarantees stay reclaimable, otherwise the guarantee's own slot, whose
 * borrowers are preempted.
 *
 * @param cell - The cell.
 * @param candidate - The job.
 * @param binding - The unused guarantee, whose gang holds the job.
 * @returns The plan, or `undefined` if the healthy workers cannot hold the guarantee.
 */
export function planGuaranteed(
    cell: Cell,
    candidate: Candidate,
    binding: GuaranteeBinding,
): PlacementPlan | undefined {
    const free = freeCapacity(cell);
    const slot = findPartlyFreeSlot(cell, candidate.shape, binding, free)
        ?? findSlotOutsideOthers(cell, binding, free)
        ?? findRepackableSlot(cell, binding, free)
        ?? binding.slot;
    if (slot === undefined) {
        return undefined;
    }
    const slotCapacity = placementCapacity(cell, slot);
    const placement = findPlacement(cell.topology, intersectCapacities(slotCapacity, free), candidate.shape)
        ?? findPlacement(cell.topology, slotCapacity, candidate.shape);
    return placement === undefined ? undefined : {
        placement,
        standing: { kind: "guaranteed", guarantee: binding.gang.guarantee, slot },
        victims: findHoldingJobs(cell, placement),
    };
}

/** Returns the guarantee's own slot if the job fits on the free accelerators of that slot. */
function findPartlyFreeSlot(
    cell: Cell,
    shape: GangShape,
    binding: GuaranteeBinding,
    free: Capacity,
): Placement | undefined {
    if (binding.slot === undefined) {
        return undefined;
    }
    const freeInSlot = intersectCapacities(placementCapacity(cell, binding.slot), free);
    return findPlacement(cell.topology, freeInSlot, shape) === undefined ? undefined : binding.slot;
}

/** Finds a free slot outside the slots of all other guarantees. */
function findSlotOutsideOthers(cell: Cell, binding: GuaranteeBinding, free: Capacity): Placement | undefined {
    const unreserved = free.slice();
    subtractSlots(cell, unreserved, binding);
    return findPlacement(cell.topology, unreserved, binding.gang.shape);
}

/** Finds a free slot such that every other unused guarantee keeps its slot or can get another one. */
function findRepackableSlot(cell: Cell, binding: GuaranteeBinding, free: Capacity): Placement | undefined {
    const remaining = reclaimableCapacity(cell);
    const slot = findPlacement(cell.topology, intersectCapacities(remaining, free), binding.gang.shape);
    if (slot === undefined) {
        return undefined;
    }
    subtractPlacement(cell, remaining, slot);
    const unplaced: GuaranteeBinding[] = [];
    for (const other of cell.bindings) {
        if (other === binding || other.job !== undefined || other.slot === undefined) {
            continue;
        }
        if (fitsCapacity(cell, remaining, other.slot)) {
            subtractPlacement(cell, remaining, other.slot);
        }
        else {
            unplaced.push(other);
        }
    }
    return unplaced.every(other => takeSlot(cell, remaining, other.gang.shape) !== undefined)
        ? slot
        : undefined;
}
