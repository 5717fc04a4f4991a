import { PEER_SILENCE_LIMIT_MS } from "../constants.js";
import type { Cluster, Peer } from "./Cluster.js";

/**
 * Lists the peers through which this daemon can relay a store call.
 *
 * @param cluster - This daemon's view of the cluster.
 * @returns Responsive peers that reach the store and are not leaving, most recent contact first.
 */
export function listRelayPeers(cluster: Cluster): readonly Peer[] {
    const oldestContactAt = cluster.clock() - PEER_SILENCE_LIMIT_MS;
    return [...cluster.peers.values()]
        .filter(peer => peer.reachesStore && !peer.leaving && peer.lastContactAt >= oldestContactAt)
        .sort((left, right) => right.lastContactAt - left.lastContactAt);
}
