import type { GangShape } from "./GangShape.js";

/**
 * Returns the number of accelerators that a whole gang needs.
 *
 * @param shape - The shape of the gang.
 * @returns The accelerators of all its members together.
 *
 * @example
 * countAccelerators({ members: 2, acceleratorsPerMember: 4, adjacency: Adjacency.WORKER }); // 8
 */
export function countAccelerators(shape: GangShape): number {
    return shape.members * shape.acceleratorsPerMember;
}
