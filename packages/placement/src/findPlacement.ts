import { Adjacency } from "@balsamward/schema";
import type { Capacity } from "./_lib/Capacity.js";
import { countBits } from "./_lib/countBits.js";
import { takeBlock } from "./_lib/takeBlock.js";
import type { CellWorker } from "./CellWorker.js";
import type { GangShape } from "./GangShape.js";
import type { PlacedMembers, Placement } from "./Placement.js";

/** Workers of a cell, grouped by rack. */
export type Topology = {
    readonly workers: readonly CellWorker[];
    /** Indexes into `workers`, one array for each rack. */
    readonly racks: readonly (readonly number[])[];
};

/**
 * Finds accelerators for a gang in the tightest part of a cell that holds it.
 *
 * A gang adjacent within a worker takes the fullest worker that fits, one adjacent within
 * a rack the fullest rack, and one adjacent within a data centre as few racks as possible.
 *
 * @param topology - The cell's workers and racks.
 * @param available - For each worker, the accelerators that may be taken.
 * @param shape - The gang.
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
    const total = shape.members * shape.acceleratorsPerMember;
    let best = -1;
    let fewest = Number.POSITIVE_INFINITY;
    for (let index = 0; index < available.length; index++) {
        const free = countBits(available[index]!);
        if (free >= total && free < fewest) {
            best = index;
            fewest = free;
        }
    }
    return best < 0
        ? undefined
        : [takeMembers(topology, available, best, shape.members, shape.acceleratorsPerMember)];
}

function placeInRack(topology: Topology, available: Capacity, shape: GangShape): Placement | undefined {
    let best: readonly number[] | undefined;
    let fewest = Number.POSITIVE_INFINITY;
    for (const rack of topology.racks) {
        const free = countFree(available, rack);
        if (free < fewest && countMembers(available, rack, shape) >= shape.members) {
            best = rack;
            fewest = free;
        }
    }
    return best === undefined ? undefined : fillRack(topology, available, best, shape, shape.members);
}

function placeInCell(topology: Topology, available: Capacity, shape: GangShape): Placement | undefined {
    const rooms = topology.racks
        .map(rack => ({ rack, members: countMembers(available, rack, shape) }))
        .filter(room => room.members > 0)
        .sort((left, right) => right.members - left.members);
    const placement: PlacedMembers[] = [];
    let left = shape.members;
    while (left > 0 && rooms.length > 0) {
        const tightest = rooms.findLastIndex(room => room.members >= left);
        const [room] = rooms.splice(Math.max(tightest, 0), 1);
        const members = Math.min(left, room!.members);
        placement.push(...fillRack(topology, available, room!.rack, shape, members));
        left -= members;
    }
    return left === 0 ? placement : undefined;
}

function fillRack(
    topology: Topology,
    available: Capacity,
    rack: readonly number[],
    shape: GangShape,
    members: number,
): PlacedMembers[] {
    const perMember = shape.acceleratorsPerMember;
    const rooms = rack
        .map(index => ({ index, members: Math.floor(countBits(available[index]!) / perMember) }))
        .filter(room => room.members > 0)
        .sort((left, right) => right.members - left.members);
    const placed: PlacedMembers[] = [];
    let left = members;
    while (left > 0) {
        const tightest = rooms.findLastIndex(room => room.members >= left);
        const [room] = rooms.splice(Math.max(tightest, 0), 1);
        const taken = Math.min(left, room!.members);
        placed.push(takeMembers(topology, available, room!.index, taken, perMember));
        left -= taken;
    }
    return placed;
}

function takeMembers(
    topology: Topology,
    available: Capacity,
    index: number,
    members: number,
    perMember: number,
): PlacedMembers {
    let accelerators = 0;
    for (let member = 0; member < members; member++) {
        accelerators |= takeBlock(available[index]! & ~accelerators, perMember);
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
