import type { Cluster, Peer } from "./Cluster.js";

/** Number of responsive peers, besides the owner, with which a daemon exchanges heartbeats. */
export const MAX_ACTIVE_PEERS = 8;

/** Number of consecutive failures from which a peer counts as unresponsive: one may be due to a busy processor. */
const MAX_FAILED_EXCHANGES = 2;

/**
 * Lists the peers with which this daemon exchanges heartbeats of its own accord. In a large cluster these are the owner
 * and a few others, which stay the same while they answer: the first call to a peer opens a connection and costs far
 * more than the later ones.
 *
 * @param cluster - This daemon's view of the cluster.
 * @returns The owner and the peers of lowest rank, up to `MAX_ACTIVE_PEERS` besides unresponsive ones.
 */
export function listActivePeers({ peers, owner }: Pick<Cluster, "peers" | "owner">): readonly Peer[] {
    const byRank = [...peers.values()]
        .filter(peer => !peer.leaving)
        .sort((left, right) => left.rank - right.rank);
    const activePeers: Peer[] = [];
    let responsivePeers = 0;
    for (const peer of byRank) {
        if (responsivePeers < MAX_ACTIVE_PEERS || peer.address === owner?.address) {
            activePeers.push(peer);
            responsivePeers += isUnresponsive(peer) ? 0 : 1;
        }
    }
    return activePeers;
}

function isUnresponsive({ refusedConnections, failedExchanges }: Peer): boolean {
    return refusedConnections > 0 || failedExchanges >= MAX_FAILED_EXCHANGES;
}
