import { Adjacency } from "@balsamward/schema";
import type { JobId } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import {
    fitsCapacity,
    freeCapacity,
    placementCapacity,
    reclaimableCapacity,
    subtractPlacement,
    subtractSlots,
} from "./_lib/capacities.js";
import type { Capacity } from "./_lib/Capacity.js";
import { countBits } from "./_lib/countBits.js";
import type { Candidate } from "./Candidate.js";
import type { Cell, GuaranteeBinding } from "./Cell.js";
import { findPlacement } from "./findPlacement.js";
import type { GangShape } from "./GangShape.js";
import type { Placement } from "./Placement.js";
import type { PlacementError } from "./PlacementError.js";
import type { PlacementPlan } from "./PlacementPlan.js";

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

/**
 * Tells whether every placement of one gang shape can hold another shape.
 *
 * @param inner - The shape to fit, such as that of a job.
 * @param outer - The containing shape, such as that of a guaranteed gang.
 * @returns Whether any placement of `outer` can hold `inner`.
 *
 * @example
 * shapeFits(job.shape, gang.shape);
 */
export function shapeFits(inner: GangShape, outer: GangShape): boolean {
    return inner.members <= outer.members
        && inner.acceleratorsPerMember <= outer.acceleratorsPerMember
        && outer.adjacency <= inner.adjacency;
}

function findUnusedBinding(cell: Cell, candidate: Candidate): GuaranteeBinding | undefined {
    const total = (binding: GuaranteeBinding) =>
        binding.gang.shape.members * binding.gang.shape.acceleratorsPerMember;
    return cell.bindings
        .filter(binding =>
            binding.job === undefined
            && binding.gang.customer === candidate.customer
            && shapeFits(candidate.shape, binding.gang.shape)
        )
        .sort((left, right) => total(left) - total(right))[0];
}

function planGuaranteed(
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
    const placement =
        findPlacement(cell.topology, slotCapacity.map((mask, index) => mask & free[index]!), candidate.shape)
            ?? findPlacement(cell.topology, slotCapacity, candidate.shape);
    return placement === undefined ? undefined : {
        placement,
        standing: { kind: "guaranteed", guarantee: binding.gang.guarantee, slot },
        victims: findHoldingJobs(cell, placement),
    };
}

function findPartlyFreeSlot(
    cell: Cell,
    shape: GangShape,
    binding: GuaranteeBinding,
    free: Capacity,
): Placement | undefined {
    if (binding.slot === undefined) {
        return undefined;
    }
    const slotCapacity = placementCapacity(cell, binding.slot).map((mask, index) => mask & free[index]!);
    return findPlacement(cell.topology, slotCapacity, shape) === undefined ? undefined : binding.slot;
}

function findSlotOutsideOthers(cell: Cell, binding: GuaranteeBinding, free: Capacity): Placement | undefined {
    const unreserved = free.slice();
    subtractSlots(cell, unreserved, binding);
    return findPlacement(cell.topology, unreserved, binding.gang.shape);
}

/** Finds a free slot such that every other unused guarantee keeps its slot or can get another one. */
function findRepackableSlot(cell: Cell, binding: GuaranteeBinding, free: Capacity): Placement | undefined {
    const remaining = reclaimableCapacity(cell);
    const slot = findPlacement(
        cell.topology,
        remaining.map((mask, index) => mask & free[index]!),
        binding.gang.shape,
    );
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
    return unplaced.every(other => reserveSlot(cell, remaining, other)) ? slot : undefined;
}

function reserveSlot(cell: Cell, capacity: Capacity, binding: GuaranteeBinding): boolean {
    const slot = findPlacement(cell.topology, capacity, binding.gang.shape);
    if (slot !== undefined) {
        subtractPlacement(cell, capacity, slot);
    }
    return slot !== undefined;
}

function planBorrowed(cell: Cell, candidate: Candidate): PlacementPlan | undefined {
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

function findHoldingJobs(cell: Cell, placement: Placement): readonly JobId[] {
    const masksByWorker = new Map(placement.map(placed => [placed.worker, placed.accelerators]));
    return [...cell.allocations.values()]
        .filter(allocation =>
            allocation.placement.some(placed => (masksByWorker.get(placed.worker) ?? 0) & placed.accelerators)
        )
        .map(allocation => allocation.job);
}

function createPlacementError(
    cell: Cell,
    candidate: Candidate,
    binding: GuaranteeBinding | undefined,
): PlacementError {
    if (!candidate.preemptible) {
        return binding === undefined
            ? {
                kind: "guarantee-in-use",
                message:
                    "Every guarantee that fits the job is in use. The job starts when a guaranteed job of the customer ends.",
            }
            : {
                kind: "guarantee-short",
                message:
                    "The healthy workers cannot hold the guarantee. The job starts when unhealthy workers recover.",
            };
    }
    const total = candidate.shape.members * candidate.shape.acceleratorsPerMember;
    const free = freeCapacity(cell).reduce((sum, mask) => sum + countBits(mask), 0);
    return free < total
        ? {
            kind: "no-free-accelerators",
            message:
                `The job needs ${total} accelerators, but only ${free} are free. It starts when other jobs end.`,
        }
        : {
            kind: "no-adjacent-accelerators",
            message: `${free} accelerators are free, but not enough of them are adjacent within one `
                + `${adjacencyText(candidate.shape.adjacency)}. The job starts when neighbouring jobs end.`,
        };
}

function adjacencyText(adjacency: Adjacency): string {
    return Adjacency[adjacency].toLowerCase().replaceAll("_", " ");
}
