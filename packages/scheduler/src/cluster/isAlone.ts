import { PEER_SILENCE_MS } from "../constants.js";
import type { Cluster } from "./Cluster.js";

/**
 * Returns whether another daemon could have become the owner unnoticed while the store is away.
 *
 * A new owner needs the store. As long as most peers are heard from, and none of them reaches the
 * store, no such owner exists among them.
 *
 * @param cluster - The daemon's knowledge.
 * @returns True if a peer reaches the store, or most peers are silent.
 */
export function isAlone(cluster: Cluster): boolean {
    const since = cluster.clock() - PEER_SILENCE_MS;
    const peers = [...cluster.peers.values()].filter(peer => !peer.leaving);
    const heard = peers.filter(peer => peer.heardAt >= since);
    return heard.some(peer => peer.reachesStore) || heard.length * 2 < peers.length;
}
