import type { RelayStoreCallResponse } from "@balsamward/schema/scheduling";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { RELAY_TIMEOUT_MS } from "../constants.js";
import type { StoreError } from "../ports/FleetStore.js";
import type { Cluster, Peer } from "./Cluster.js";
import { isUnprocessed } from "./createPeerClient.js";
import { listRelayPeers } from "./listRelayPeers.js";
import type { RelayedStoreCall } from "./RelayedStoreCall.js";
import { toStoreItem } from "./toStoreItem.js";

/** Number of peers that are tried before a relayed call fails. */
const MAX_RELAY_ATTEMPTS = 2;

/**
 * Makes a store call through a peer that reaches the store.
 *
 * @param cluster - This daemon's view of the cluster, with the peers to relay through.
 * @param storeCall - The call.
 * @returns The result, or the error of the store; `unavailable` if no peer reaches the store, if the peers that were
 * tried have not processed the call, and for a repeatable call also if they do not answer; `unclear` if a call that is
 * not repeatable was not answered.
 */
export async function relayThroughPeers<T>(
    cluster: Cluster,
    storeCall: RelayedStoreCall<T>,
): Promise<Result<T, StoreError>> {
    let lastError: StoreError = {
        kind: "unavailable",
        message: "No peer reaches the store. Try again later.",
    };
    for (const peer of listRelayPeers(cluster).slice(0, MAX_RELAY_ATTEMPTS)) {
        const result = await relayThroughPeer(cluster, peer, storeCall);
        if (result.isOk() || result.error.kind !== "unavailable") {
            return result;
        }
        lastError = result.error;
    }
    return err(lastError);
}

async function relayThroughPeer<T>(
    cluster: Cluster,
    peer: Peer,
    storeCall: RelayedStoreCall<T>,
): Promise<Result<T, StoreError>> {
    try {
        const request = { call: storeCall.call };
        const timeoutMs = RELAY_TIMEOUT_MS + storeCall.waitMs;
        const response = await peer.client.calls.relayStoreCall(request, { timeoutMs });
        cluster.metrics.relayedStoreCalls.inc({
            result: response.errorKind === "" ? "done" : response.errorKind,
        });
        return response.errorKind === "" ? ok(storeCall.decode(response)) : err(toError(response));
    }
    catch (error) {
        cluster.metrics.relayedStoreCalls.inc({ result: "failed" });
        peer.reachesStore = false;
        const kind = storeCall.isRepeatable || isUnprocessed(error) ? "unavailable" : "unclear";
        return err({
            kind,
            message: `The peer '${peer.node}' does not answer (${
                String(error)
            }). Read the value back before repeating a write.`,
        });
    }
}

function toError(response: RelayStoreCallResponse): StoreError {
    const message = response.errorMessage;
    switch (response.errorKind) {
        case "conflict":
            return { kind: "conflict", message, items: response.rows.map(toStoreItem) };
        case "unavailable":
        case "unclear":
        case "compacted":
        case "lease-ended":
        case "invalid":
            return { kind: response.errorKind, message };
        default:
            return {
                kind: "unclear",
                message:
                    `A peer answers with the unknown error '${response.errorKind}'. Compare the daemons' versions.`,
            };
    }
}
