import type { Cluster } from "./Cluster.js";

/**
 * Returns the time of day on which most daemons agree, since single clocks jump.
 *
 * @param cluster - The daemon's knowledge of its peers' clocks.
 * @returns Milliseconds since 1970: the median of this daemon's and its peers' clocks.
 */
export function getMedianWallClockMs(cluster: Cluster): number {
    const contactedPeers = [...cluster.peers.values()].filter(peer =>
        peer.lastContactAt > Number.NEGATIVE_INFINITY
    );
    const offsets = [0, ...contactedPeers.map(peer => peer.wallClockOffsetMs)].sort((left, right) =>
        left - right
    );
    return Date.now() + offsets[Math.floor((offsets.length - 1) / 2)]!;
}
