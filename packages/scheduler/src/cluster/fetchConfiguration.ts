import { PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { Cluster, Peer } from "./Cluster.js";

/**
 * Fetches a peer's configuration and puts it into force if it is newer; a failure is logged. Several heartbeats name a
 * new version while it is fetched, so that one fetch from a peer is made at a time.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param peer - The peer that has a newer configuration.
 */
export async function fetchConfiguration(cluster: Cluster, peer: Peer): Promise<void> {
    if (peer.isFetchingConfiguration) {
        return;
    }
    peer.isFetchingConfiguration = true;
    let isAdvancing = true;
    while (isAdvancing && peer.configurationVersion > getVersion(cluster)) {
        isAdvancing = await fetchOnce(cluster, peer);
    }
    peer.isFetchingConfiguration = false;
}

/** Returns whether a newer version has come into force. */
async function fetchOnce(cluster: Cluster, peer: Peer): Promise<boolean> {
    const previous = getVersion(cluster);
    try {
        const answer = await peer.client.calls.fetchConfiguration({}, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        // Another peer or the store may have been faster: a large text is not decoded again.
        if (answer.version > getVersion(cluster)) {
            cluster.configuration.activateIfNewer(answer.text, peer.node);
        }
    }
    catch (error) {
        cluster.metrics.peerCalls.inc({ call: "fetch-configuration", result: "failed" });
        cluster.log.warn("A peer's configuration cannot be fetched.", {
            peer: peer.node,
            error: String(error),
        });
    }
    return getVersion(cluster) > previous;
}

function getVersion({ configuration }: Cluster): number {
    return configuration.current()?.version ?? 0;
}
