import { Adjacency } from "@balsamward/schema";
import type { Capacity } from "./_lib/Capacity.js";
import { countBits } from "./_lib/countBits.js";
import { takeAccelerators } from "./_lib/takeAccelerators.js";
import type { CellWorker } from "./CellWorker.js";
import { countAccelerators } from "./countAccelerators.js";
import type { GangShape } from "./GangShape.js";
import type { Placement, WorkerPlacement } from "./Placement.js";

/** The workers of a cell and their grouping into racks. */
export type Topology = {
    readonly workers: readonly CellWorker[];
    /** Indexes into `workers`, one array per rack. */
    readonly racks: readonly (readonly number[])[];
};

/**
 * Finds accelerators for a gang by best fit.
 *
 * With adjacency within a worker or a rack, uses the worker or rack that has the fewest available
 * accelerators among those that fit the gang. With adjacency within a data centre, uses few racks:
 * repeatedly the smallest one that fits all remaining members, or the largest one if none does.
 *
 * @param topology - The cell's workers and racks.
 * @param available - For each worker, the mask of the accelerators that can be used.
 * @param shape - The shape of the gang.
 * @returns The placement, or `undefined` if the gang does not fit.
 *
 * @example
 * findPlacement(topology, available, { members: 2, acceleratorsPerMember: 4, adjacency: Adjacency.WORKER });
 */
export function findPlacement(
    topology: Topology,
    available: Capacity,
    shape: GangShape,
): Placement | undefined {
    switch (shape.adjacency) {
        case Adjacency.WORKER:
            return placeInWorker(topology, available, shape);
        case Adjacency.RACK:
            return placeInRack(topology, available, shape);
        case Adjacency.DATA_CENTRE:
            return placeInCell(topology, available, shape);
        case Adjacency.UNSPECIFIED:
            return undefined;
        default:
            return shape.adjacency satisfies never;
    }
}

function placeInWorker(topology: Topology, available: Capacity, shape: GangShape): Placement | undefined {
    const total = countAccelerators(shape);
    let best = -1;
    let fewestFree = Number.POSITIVE_INFINITY;
    for (let index = 0; index < available.length; index++) {
        const free = countBits(available[index]!);
        if (free >= total && free < fewestFree) {
            best = index;
            fewestFree = free;
        }
    }
    return best < 0
        ? undefined
        : [takeMembers(topology, available, best, shape.members, shape.acceleratorsPerMember)];
}

function placeInRack(topology: Topology, available: Capacity, shape: GangShape): Placement | undefined {
    let best: readonly number[] | undefined;
    let fewestFree = Number.POSITIVE_INFINITY;
    for (const rack of topology.racks) {
        const free = countFree(available, rack);
        if (free < fewestFree && countMembers(available, rack, shape) >= shape.members) {
            best = rack;
            fewestFree = free;
        }
    }
    return best === undefined ? undefined : fillRack(topology, available, best, shape, shape.members);
}

function placeInCell(topology: Topology, available: Capacity, shape: GangShape): Placement | undefined {
    const candidates = topology.racks
        .map(rack => ({ rack, members: countMembers(available, rack, shape) }))
        .filter(candidate => candidate.members > 0)
        .sort((left, right) => right.members - left.members);
    const placement: WorkerPlacement[] = [];
    let remaining = shape.members;
    while (remaining > 0 && candidates.length > 0) {
        const tightestIndex = candidates.findLastIndex(candidate => candidate.members >= remaining);
        const [candidate] = candidates.splice(Math.max(tightestIndex, 0), 1);
        const members = Math.min(remaining, candidate!.members);
        placement.push(...fillRack(topology, available, candidate!.rack, shape, members));
        remaining -= members;
    }
    return remaining === 0 ? placement : undefined;
}

function fillRack(
    topology: Topology,
    available: Capacity,
    rack: readonly number[],
    shape: GangShape,
    members: number,
): WorkerPlacement[] {
    const acceleratorsPerMember = shape.acceleratorsPerMember;
    const candidates = rack
        .map(index => ({ index, members: Math.floor(countBits(available[index]!) / acceleratorsPerMember) }))
        .filter(candidate => candidate.members > 0)
        .sort((left, right) => right.members - left.members);
    const workerPlacements: WorkerPlacement[] = [];
    let remaining = members;
    while (remaining > 0) {
        const tightestIndex = candidates.findLastIndex(candidate => candidate.members >= remaining);
        const [candidate] = candidates.splice(Math.max(tightestIndex, 0), 1);
        const taken = Math.min(remaining, candidate!.members);
        workerPlacements.push(
            takeMembers(topology, available, candidate!.index, taken, acceleratorsPerMember),
        );
        remaining -= taken;
    }
    return workerPlacements;
}

function takeMembers(
    topology: Topology,
    available: Capacity,
    index: number,
    members: number,
    acceleratorsPerMember: number,
): WorkerPlacement {
    let accelerators = 0;
    for (let member = 0; member < members; member++) {
        accelerators |= takeAccelerators(available[index]! & ~accelerators, acceleratorsPerMember);
    }
    return { worker: topology.workers[index]!.id, accelerators, members };
}

function countFree(available: Capacity, rack: readonly number[]): number {
    let free = 0;
    for (const index of rack) {
        free += countBits(available[index]!);
    }
    return free;
}

function countMembers(available: Capacity, rack: readonly number[], shape: GangShape): number {
    let members = 0;
    for (const index of rack) {
        members += Math.floor(countBits(available[index]!) / shape.acceleratorsPerMember);
    }
    return members;
}
