import type { CellId, NodeId } from "@balsamward/schema";
import { sha256Hex } from "@balsamward/schema";
import { OWNERSHIP_LOAD_FACTOR } from "./constants.js";

/**
 * Assigns every cell to a live daemon by rendezvous hashing with bounded load.
 *
 * All daemons that see the same members compute the same assignment. When a daemon leaves, only its own
 * cells move, and those that the load bound keeps from their preferred daemon.
 *
 * @param cells - The cells, in any order.
 * @param members - The daemons that may own cells, in any order.
 * @returns The owner of each cell; empty if there are no members.
 *
 * @example
 * assignCells(cells, members).get(cell);
 */
export function assignCells(
    cells: readonly CellId[],
    members: readonly NodeId[],
): ReadonlyMap<CellId, NodeId> {
    const owners = new Map<CellId, NodeId>();
    const cellCounts = new Map(members.map(member => [member, 0]));
    const maxCellsPerMember = Math.ceil(cells.length / Math.max(1, members.length) * OWNERSHIP_LOAD_FACTOR);
    for (const cell of cells.toSorted()) {
        const owner = rankMembers(cell, members).find(member => cellCounts.get(member)! < maxCellsPerMember);
        if (owner !== undefined) {
            owners.set(cell, owner);
            cellCounts.set(owner, cellCounts.get(owner)! + 1);
        }
    }
    return owners;
}

/** Returns the daemons by descending rendezvous score for a cell. */
function rankMembers(cell: CellId, members: readonly NodeId[]): readonly NodeId[] {
    return members
        .map(member => ({ member, score: sha256Hex(`${cell} ${member}`) }))
        .sort((left, right) => left.score < right.score ? 1 : -1)
        .map(entry => entry.member);
}
