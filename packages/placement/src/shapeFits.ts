import type { GangShape } from "./GangShape.js";

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
