import { PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { Cluster, Peer } from "./Cluster.js";

/**
 * Fetches a peer's configuration and puts it into force if it is newer; a failure is logged.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param peer - The peer that has a newer configuration.
 */
export async function fetchConfiguration(cluster: Cluster, peer: Peer): Promise<void> {
    try {
        const answer = await peer.client.calls.fetchConfiguration({}, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        if (answer.text.length > 0) {
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
}
