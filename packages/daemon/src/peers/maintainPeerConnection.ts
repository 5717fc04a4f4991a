import { createPeerTransport } from "@balsamward/scheduler/createPeerTransport";
import { pause } from "@balsamward/scheduler/pause";
import type { Member, NodeId } from "@balsamward/schema";
import { PeerService } from "@balsamward/schema";
import type { Client } from "@connectrpc/connect";
import { createClient } from "@connectrpc/connect";
import { HEARTBEAT_INTERVAL_MS, PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import { composeHeartbeat, receiveHeartbeat } from "./composeHeartbeat.js";

/** The RPC client of a connection to another daemon. */
export type PeerClient = Client<typeof PeerService>;

/** The RPC clients of all connected peers. */
export type PeerClients = Map<NodeId, PeerClient>;

/**
 * Maintains the connection to one peer and exchanges heartbeats over it until the signal aborts.
 *
 * An exchange carries the heartbeats of both daemons, so only the daemon whose name sorts first calls.
 * A failed call closes the connection, so that the next call opens a new one.
 *
 * @param state - The daemon's state.
 * @param clients - Holds the peer's client while the connection is maintained.
 * @param member - The peer.
 * @param signal - Ends the connection.
 *
 * @example
 * await maintainPeerConnection(state, clients, member, signal);
 */
export async function maintainPeerConnection(
    state: DaemonState,
    clients: PeerClients,
    member: Member,
    signal: AbortSignal,
): Promise<void> {
    const node = member.node as NodeId;
    const { transport, reset } = createPeerTransport(member.peerAddress);
    const client = createClient(PeerService, transport);
    clients.set(node, client);
    try {
        while (!signal.aborted) {
            if (state.node < node && !await exchangeHeartbeats(state, client, node)) {
                reset();
            }
            await pause(HEARTBEAT_INTERVAL_MS * (0.9 + state.random() * 0.2), signal);
        }
    }
    finally {
        clients.delete(node);
        reset();
    }
}

async function exchangeHeartbeats(state: DaemonState, client: PeerClient, node: NodeId): Promise<boolean> {
    try {
        const heartbeat = composeHeartbeat(state);
        const response = await client.exchange({ heartbeat }, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        state.metrics.peerCalls.inc({ result: "done" });
        if (response.heartbeat !== undefined && receiveHeartbeat(state, response.heartbeat)) {
            await fetchConfiguration(state, client);
        }
        return true;
    }
    catch (error) {
        state.metrics.peerCalls.inc({ result: "failed" });
        state.log.debug("A heartbeat exchange with a peer fails.", { peer: node, error: String(error) });
        return false;
    }
}

/**
 * Fetches the configuration of a peer; it takes effect if it is newer than the one in force.
 *
 * @param state - The daemon's state.
 * @param client - The client of the peer.
 *
 * @example
 * await fetchConfiguration(state, client);
 */
export async function fetchConfiguration(state: DaemonState, client: PeerClient): Promise<void> {
    const response = await client.fetchConfiguration({}, { timeoutMs: PEER_CALL_TIMEOUT_MS });
    if (response.configuration !== undefined) {
        state.configurationTracker.applyIfNewer(response.configuration);
    }
}
