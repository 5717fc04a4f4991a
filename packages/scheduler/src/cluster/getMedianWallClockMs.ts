import type { Cluster } from "./Cluster.js";

/**
 * Returns the median wall clock of the cluster, which is robust against single clocks that jump.
 *
 * @param cluster - This daemon's view of the cluster, with the offsets of its peers' clocks.
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
