import type { Cluster } from "./Cluster.js";

/**
 * Returns the time of day on which most daemons agree, since single clocks jump.
 *
 * @param cluster - The daemon's knowledge of its peers' clocks.
 * @returns Milliseconds since 1970: the median of this daemon's and its peers' clocks.
 */
export function agreeWallClock(cluster: Cluster): number {
    const heard = [...cluster.peers.values()].filter(peer => peer.heardAt > Number.NEGATIVE_INFINITY);
    const offsets = [0, ...heard.map(peer => peer.wallOffsetMs)].sort((left, right) => left - right);
    return Date.now() + offsets[Math.floor((offsets.length - 1) / 2)]!;
}
