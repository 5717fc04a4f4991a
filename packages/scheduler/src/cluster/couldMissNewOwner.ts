import { PEER_SILENCE_MS } from "../constants.js";
import type { Cluster } from "./Cluster.js";

/**
 * Returns whether another daemon could have become the owner unnoticed while the store is away.
 *
 * A new owner needs the store. As long as enough peers are heard from, and none of them reaches the
 * store, no such owner exists among them.
 *
 * @param cluster - The daemon's knowledge.
 * @returns True if a peer reaches the store, or too few peers are heard from.
 */
export function couldMissNewOwner(cluster: Cluster): boolean {
    const oldestContactAt = cluster.clock() - PEER_SILENCE_MS;
    const remainingPeers = [...cluster.peers.values()].filter(peer => !peer.leaving);
    const responsivePeers = remainingPeers.filter(peer => peer.lastContactAt >= oldestContactAt);
    const requiredPeers = Math.min(MAX_REQUIRED_PEERS, Math.ceil(remainingPeers.length / 2));
    return responsivePeers.some(peer => peer.reachesStore) || responsivePeers.length < requiredPeers;
}

/** Peers whose word is enough in a large cluster, where not every peer is heard from within the time. */
const MAX_REQUIRED_PEERS = 4;
