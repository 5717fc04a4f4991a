import { PEER_SILENCE_LIMIT_MS } from "../constants.js";
import type { Cluster, Peer } from "./Cluster.js";

/**
 * Lists the peers that can make a store call for this daemon.
 *
 * @param cluster - The daemon's knowledge.
 * @returns Peers that were heard from lately and reach the store, the last heard first.
 */
export function listHelpers(cluster: Cluster): readonly Peer[] {
    const since = cluster.clock() - PEER_SILENCE_LIMIT_MS;
    return [...cluster.peers.values()]
        .filter(peer => peer.reachesStore && !peer.leaving && peer.heardAt >= since)
        .sort((left, right) => right.heardAt - left.heardAt);
}
