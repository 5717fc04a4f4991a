import type { Cluster } from "./Cluster.js";

/** Longest random delay before a daemon of a small cluster claims the ownership, in milliseconds. */
const CLAIM_JITTER_MS = 60;

/** Number of peers up to which a cluster is small; the jitter grows with larger ones. */
const SMALL_CLUSTER_PEERS = 8;

/** Further delay of a daemon that knows a peer with a faster processor, in milliseconds. */
const SLOWER_DAEMON_DELAY_MS = 300;

/**
 * Returns how long a daemon waits before it claims the ownership when there is no owner. The delays are spread, so that
 * most daemons of a large cluster find an owner instead of making a claim in vain, and the daemons with the fastest
 * processors come first.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param random - Returns random numbers from 0 to below 1.
 * @returns The delay in milliseconds.
 */
export function computeClaimDelayMs(
    { peers, processorCores }: Pick<Cluster, "peers" | "processorCores">,
    random: () => number,
): number {
    const jitterMs = CLAIM_JITTER_MS * Math.max(1, peers.size / SMALL_CLUSTER_PEERS);
    const isSlower = [...peers.values()].some(peer =>
        !peer.leaving && peer.refusedConnections === 0 && peer.processorCores > processorCores
    );
    return random() * jitterMs + (isSlower ? SLOWER_DAEMON_DELAY_MS : 0);
}
