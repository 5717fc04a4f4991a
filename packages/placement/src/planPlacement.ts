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
import type { Cell, UnitBinding } from "./Cell.js";
import { findPlacement } from "./findPlacement.js";
import type { GangShape } from "./GangShape.js";
import type { Placement } from "./Placement.js";
import type { PlacementError } from "./PlacementError.js";
import type { Plan } from "./Plan.js";

/**
 * Plans where a job goes, without changing the cell.
 *
 * A job that fits an unused guarantee of its customer uses it: on free accelerators if the other
 * guarantees stay reclaimable, otherwise on the guarantee's own slot, whose borrowers are the victims.
 * Any other job borrows free accelerators; it stops borrowers only if they are less urgent.
 *
 * @param cell - The cell.
 * @param candidate - The job.
 * @returns The plan, or the constraint that holds the job and what would free it.
 *
 * @example
 * planPlacement(cell, candidate).map(plan => plan.victims);
 */
export function planPlacement(cell: Cell, candidate: Candidate): Result<Plan, PlacementError> {
    const binding = findUnusedBinding(cell, candidate);
    if (binding !== undefined) {
        const plan = planGuaranteed(cell, candidate, binding);
        if (plan !== undefined) {
            return ok(plan);
        }
    }
    if (!candidate.preemptible) {
        return err(holdingConstraint(cell, candidate, binding));
    }
    const plan = planBorrowed(cell, candidate);
    return plan === undefined ? err(holdingConstraint(cell, candidate, binding)) : ok(plan);
}

/**
 * Tells whether a gang fits within another's shape.
 *
 * @param inner - The gang that asks.
 * @param outer - The guaranteed gang.
 * @returns Whether a place for `outer` always holds `inner`.
 *
 * @example
 * shapeFits(job.shape, unit.shape);
 */
export function shapeFits(inner: GangShape, outer: GangShape): boolean {
    return inner.members <= outer.members
        && inner.acceleratorsPerMember <= outer.acceleratorsPerMember
        && outer.adjacency <= inner.adjacency;
}

function findUnusedBinding(cell: Cell, candidate: Candidate): UnitBinding | undefined {
    const total = (binding: UnitBinding) =>
        binding.unit.shape.members * binding.unit.shape.acceleratorsPerMember;
    return cell.bindings
        .filter(binding =>
            binding.user === undefined
            && binding.unit.customer === candidate.customer
            && shapeFits(candidate.shape, binding.unit.shape)
        )
        .sort((left, right) => total(left) - total(right))[0];
}

function planGuaranteed(cell: Cell, candidate: Candidate, binding: UnitBinding): Plan | undefined {
    const free = freeCapacity(cell);
    const slot = freeSlotPart(cell, candidate.shape, binding, free)
        ?? findApartSlot(cell, binding, free)
        ?? findRepackableSlot(cell, binding, free)
        ?? binding.slot;
    if (slot === undefined) {
        return undefined;
    }
    const room = placementCapacity(cell, slot);
    const placement =
        findPlacement(cell.topology, room.map((mask, index) => mask & free[index]!), candidate.shape)
            ?? findPlacement(cell.topology, room, candidate.shape);
    return placement === undefined ? undefined : {
        placement,
        standing: { kind: "guaranteed", guarantee: binding.unit.guarantee, slot },
        victims: findHolders(cell, placement),
    };
}

function freeSlotPart(
    cell: Cell,
    shape: GangShape,
    binding: UnitBinding,
    free: Capacity,
): Placement | undefined {
    if (binding.slot === undefined) {
        return undefined;
    }
    const room = placementCapacity(cell, binding.slot).map((mask, index) => mask & free[index]!);
    return findPlacement(cell.topology, room, shape) === undefined ? undefined : binding.slot;
}

function findApartSlot(cell: Cell, binding: UnitBinding, free: Capacity): Placement | undefined {
    const apart = free.slice();
    subtractSlots(cell, apart, binding);
    return findPlacement(cell.topology, apart, binding.unit.shape);
}

/** Finds a free slot whose use leaves a slot for every other unused guarantee. */
function findRepackableSlot(cell: Cell, binding: UnitBinding, free: Capacity): Placement | undefined {
    const rest = reclaimableCapacity(cell);
    const slot = findPlacement(
        cell.topology,
        rest.map((mask, index) => mask & free[index]!),
        binding.unit.shape,
    );
    if (slot === undefined) {
        return undefined;
    }
    subtractPlacement(cell, rest, slot);
    const displaced: UnitBinding[] = [];
    for (const other of cell.bindings) {
        if (other === binding || other.user !== undefined || other.slot === undefined) {
            continue;
        }
        if (fitsCapacity(cell, rest, other.slot)) {
            subtractPlacement(cell, rest, other.slot);
        }
        else {
            displaced.push(other);
        }
    }
    return displaced.every(other => takeSlot(cell, rest, other)) ? slot : undefined;
}

function takeSlot(cell: Cell, capacity: Capacity, binding: UnitBinding): boolean {
    const slot = findPlacement(cell.topology, capacity, binding.unit.shape);
    if (slot !== undefined) {
        subtractPlacement(cell, capacity, slot);
    }
    return slot !== undefined;
}

function planBorrowed(cell: Cell, candidate: Candidate): Plan | undefined {
    const standing = { kind: "borrowed" } as const;
    const apart = freeCapacity(cell);
    subtractSlots(cell, apart);
    const free = findPlacement(cell.topology, apart, candidate.shape)
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
        : { placement, standing, victims: findHolders(cell, placement) };
}

function lessUrgentCapacity(cell: Cell, urgency: number): Capacity {
    const capacity = freeCapacity(cell);
    for (const holding of cell.holdings.values()) {
        if (holding.standing.kind === "guaranteed" || holding.urgency >= urgency) {
            continue;
        }
        for (const placed of holding.placement) {
            const index = cell.workerIndex.get(placed.worker);
            if (index !== undefined) {
                capacity[index]! |= placed.accelerators & cell.healthy[index]!;
            }
        }
    }
    return capacity;
}

function findHolders(cell: Cell, placement: Placement): readonly JobId[] {
    const wanted = new Map(placement.map(placed => [placed.worker, placed.accelerators]));
    return [...cell.holdings.values()]
        .filter(holding =>
            holding.placement.some(placed => (wanted.get(placed.worker) ?? 0) & placed.accelerators)
        )
        .map(holding => holding.job);
}

function holdingConstraint(
    cell: Cell,
    candidate: Candidate,
    binding: UnitBinding | undefined,
): PlacementError {
    if (!candidate.preemptible) {
        return binding === undefined
            ? {
                kind: "guarantee-in-use",
                message:
                    "Every guarantee that fits the job is in use. It starts when a job of the customer ends.",
            }
            : {
                kind: "guarantee-short",
                message: "The healthy workers cannot hold the guarantee. It starts when a worker returns.",
            };
    }
    const total = candidate.shape.members * candidate.shape.acceleratorsPerMember;
    const free = freeCapacity(cell).reduce((sum, mask) => sum + countBits(mask), 0);
    return free < total
        ? {
            kind: "no-free-accelerators",
            message: `The job needs ${total} accelerators and ${free} are free. It starts when others end.`,
        }
        : {
            kind: "no-adjacent-accelerators",
            message: `${free} accelerators are free, but none that are adjacent within one `
                + `${adjacencyText(candidate.shape.adjacency)}. It starts when neighbours end.`,
        };
}

function adjacencyText(adjacency: Adjacency): string {
    return Adjacency[adjacency].toLowerCase().replaceAll("_", " ");
}
