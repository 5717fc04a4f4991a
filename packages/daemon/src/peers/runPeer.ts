import { pause } from "@balsamward/scheduler/pause";
import type { Member, NodeId } from "@balsamward/schema";
import { PeerService } from "@balsamward/schema";
import type { Client } from "@connectrpc/connect";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { HEARTBEAT_MS, PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import { composeHeartbeat, receiveHeartbeat } from "./composeHeartbeat.js";

/** A connection to another daemon. */
export type PeerClient = Client<typeof PeerService>;

/** The connections to all peers. */
export type PeerClients = Map<NodeId, PeerClient>;

/**
 * Keeps the connection to one peer until the signal aborts, and exchanges heartbeats over it.
 *
 * An exchange carries the heartbeats of both, so of two daemons only the one whose name sorts first calls.
 * A call that gets no answer closes the connection, so that the next one uses a new connection.
 *
 * @param state - The daemon.
 * @param clients - Receives the connection while the task runs.
 * @param member - The peer.
 * @param signal - Ends the task.
 *
 * @example
 * await runPeer(state, clients, member, signal);
 */
export async function runPeer(
    state: DaemonState,
    clients: PeerClients,
    member: Member,
    signal: AbortSignal,
): Promise<void> {
    const node = member.node as NodeId;
    const baseUrl = `http://${member.peerAddress}`;
    const sessionManager = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({ baseUrl, httpVersion: "2", sessionManager });
    const client = createClient(PeerService, transport);
    clients.set(node, client);
    try {
        while (!signal.aborted) {
            if (state.node < node && !await exchangeHeartbeats(state, client, node)) {
                sessionManager.abort();
            }
            await pause(HEARTBEAT_MS * (0.9 + state.random() * 0.2), signal);
        }
    }
    finally {
        clients.delete(node);
        sessionManager.abort();
    }
}

async function exchangeHeartbeats(state: DaemonState, client: PeerClient, node: NodeId): Promise<boolean> {
    try {
        const heartbeat = composeHeartbeat(state);
        const answer = await client.exchange({ heartbeat }, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        state.metrics.peerCalls.inc({ result: "done" });
        if (answer.heartbeat !== undefined && receiveHeartbeat(state, answer.heartbeat)) {
            await fetchConfiguration(state, client);
        }
        return true;
    }
    catch (error) {
        state.metrics.peerCalls.inc({ result: "failed" });
        state.log.debug("A heartbeat gets no answer.", { peer: node, error: String(error) });
        return false;
    }
}

/**
 * Takes a newer configuration from a peer.
 *
 * @param state - The daemon.
 * @param client - The connection to the peer.
 *
 * @example
 * await fetchConfiguration(state, client);
 */
export async function fetchConfiguration(state: DaemonState, client: PeerClient): Promise<void> {
    const answer = await client.fetchConfiguration({}, { timeoutMs: PEER_CALL_TIMEOUT_MS });
    if (answer.configuration !== undefined) {
        state.tracker.applyIfNewer(answer.configuration);
    }
}
