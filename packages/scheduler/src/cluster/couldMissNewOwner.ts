import { PEER_SILENCE_LIMIT_MS } from "../constants.js";
import type { Cluster } from "./Cluster.js";

/**
 * Returns whether another daemon could have become the owner unnoticed while this daemon cannot reach the store.
 *
 * A new owner needs the store. As long as enough peers are heard from, and none of them reaches the
 * store, no such owner exists among them.
 *
 * @param cluster - This daemon's view of the cluster.
 * @returns True if a responsive peer reaches the store, or if too few peers are responsive.
 */
export function couldMissNewOwner(cluster: Cluster): boolean {
    const oldestContactAt = cluster.clock() - PEER_SILENCE_LIMIT_MS;
    const peers = [...cluster.peers.values()].filter(peer => !peer.leaving);
    const responsivePeers = peers.filter(peer => peer.lastContactAt >= oldestContactAt);
    const requiredPeers = Math.min(MAX_REQUIRED_PEERS, Math.ceil(peers.length / 2));
    return responsivePeers.some(peer => peer.reachesStore) || responsivePeers.length < requiredPeers;
}

/** Maximum number of responsive peers required: in a large cluster, each peer is heard from too rarely to count all. */
const MAX_REQUIRED_PEERS = 4;
