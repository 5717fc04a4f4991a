import type { Heartbeat, HeartbeatSchema } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Cluster } from "./Cluster.js";
import { composeHeartbeat, receiveHeartbeat } from "./Cluster.js";
import { fetchConfiguration } from "./fetchConfiguration.js";

/**
 * Updates the view of the cluster from a peer's heartbeat and answers it; a newer configuration is fetched from the
 * peer.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param heartbeat - The received heartbeat.
 * @returns This daemon's heartbeat.
 */
export function answerHeartbeat(
    cluster: Cluster,
    heartbeat: Heartbeat,
): MessageInitShape<typeof HeartbeatSchema> {
    const peerHasNewerConfiguration = receiveHeartbeat(cluster, heartbeat);
    const peer = cluster.peers.get(heartbeat.sender?.address ?? "");
    if (peerHasNewerConfiguration && peer !== undefined) {
        void fetchConfiguration(cluster, peer);
    }
    return composeHeartbeat(cluster);
}
