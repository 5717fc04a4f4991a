import { PEER_SILENCE_LIMIT_MS } from "../constants.js";
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
export function isAlone(cluster: Cluster): boolean {
    const since = cluster.clock() - PEER_SILENCE_LIMIT_MS;
    const peers = [...cluster.peers.values()].filter(peer => !peer.leaving);
    const heard = peers.filter(peer => peer.heardAt >= since);
    const enough = Math.min(MOST_WITNESSES, Math.ceil(peers.length / 2));
    return heard.some(peer => peer.reachesStore) || heard.length < enough;
}

/** Peers whose word is enough in a large cluster, where not every peer is heard from within the time. */
const MOST_WITNESSES = 4;
