import type { Heartbeat } from "@balsamward/schema/scheduling";
import type { WakeSignal } from "../_lib/createWakeSignal.js";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import { sample } from "../_lib/sample.js";
import { PEER_CALL_TIMEOUT_MS, REFUSED_CONNECTIONS_LIMIT } from "../constants.js";
import type { Pause } from "../pause.js";
import { pause } from "../pause.js";
import type { Cluster, Peer } from "./Cluster.js";
import { composeHeartbeat, receiveHeartbeat } from "./Cluster.js";
import { computeHeartbeatIntervalMs } from "./computeHeartbeatIntervalMs.js";
import { createPeerClient, isConnectionRefused } from "./createPeerClient.js";
import { fetchConfiguration } from "./fetchConfiguration.js";
import { listActivePeers, MAX_ACTIVE_PEERS } from "./listActivePeers.js";

/** Number of active peers to which a change is sent at once. */
const NOTIFIED_PEER_COUNT = 4;

/**
 * Maximum delay before a daemon decides in a large cluster whether it calls a new peer, in milliseconds. A daemon that
 * starts learns of the other peers meanwhile, and does not call those that are active only until then.
 */
const MAX_FIRST_DELAY_MS = 1_000;

/** Time after which it is checked whether a peer that is not active has become so, in milliseconds. */
const PASSIVE_CHECK_INTERVAL_MS = 20_000;

/** Time without contact after which a peer is removed, in milliseconds. */
const PEER_RETENTION_MS = 60_000;

/** Largest number of peers that a daemon keeps. */
const MAX_PEERS = 512;

/** Options of `runPeers`. */
export type RunPeersOptions = {
    /** Waits for a duration on the monotonic clock. */
    readonly pause?: Pause;
};

/**
 * Sets `addPeer` of the cluster, which starts a task that exchanges heartbeats with each added peer.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param signal - Ends the tasks of all peers.
 * @param options - How the tasks wait; by default with timers of the process.
 */
export function runPeers(cluster: Cluster, signal: AbortSignal, options: RunPeersOptions = {}): void {
    cluster.addPeer = (address, node) => {
        const known = cluster.peers.get(address);
        if (known !== undefined || address === cluster.address || address === "") {
            return known;
        }
        if (cluster.peers.size >= MAX_PEERS) {
            return undefined;
        }
        const exchangeSignal = createWakeSignal(options.pause ?? pause);
        const peer: Peer = {
            address,
            node,
            client: createPeerClient(address),
            rank: Math.random(),
            isActive: false,
            lastContactAt: Number.NEGATIVE_INFINITY,
            failedExchanges: 0,
            refusedConnections: 0,
            reachesStore: false,
            configurationVersion: 0,
            isFetchingConfiguration: false,
            wallClockOffsetMs: 0,
            leaving: false,
            processorCores: 0,
            requestExchange: exchangeSignal.notify,
            abortController: new AbortController(),
        };
        cluster.peers.set(address, peer);
        void runPeer(cluster, peer, exchangeSignal, AbortSignal.any([signal, peer.abortController.signal]));
        return peer;
    };
}

async function runPeer(
    cluster: Cluster,
    peer: Peer,
    exchangeSignal: WakeSignal,
    signal: AbortSignal,
): Promise<void> {
    const addedAt = cluster.clock();
    cluster.log.debug("A peer is added.", { peer: peer.node, address: peer.address });
    try {
        if (cluster.peers.size > MAX_ACTIVE_PEERS) {
            await exchangeSignal.wait(Math.random() * MAX_FIRST_DELAY_MS, signal);
        }
        while (!signal.aborted) {
            peer.isActive = listActivePeers(cluster).includes(peer);
            if (peer.isActive) {
                await exchangeHeartbeats(cluster, peer);
            }
            if (cluster.clock() - Math.max(peer.lastContactAt, addedAt) > PEER_RETENTION_MS) {
                cluster.log.debug("An unresponsive peer is removed.", {
                    peer: peer.node,
                    address: peer.address,
                });
                return;
            }
            const waitMs = peer.isActive
                ? chooseHeartbeatIntervalMs(cluster, peer)
                : PASSIVE_CHECK_INTERVAL_MS;
            await exchangeSignal.wait(waitMs, signal);
        }
    }
    finally {
        cluster.peers.delete(peer.address);
        peer.client.reset();
    }
}

function chooseHeartbeatIntervalMs(cluster: Cluster, peer: Peer): number {
    const jitter = 0.9 + Math.random() * 0.2;
    return jitter * computeHeartbeatIntervalMs({
        isOwner: cluster.owner?.address === peer.address,
        hasRefused: peer.refusedConnections > 0,
        peerCount: cluster.peers.size,
    });
}

/**
 * Exchanges heartbeats with a peer once; a failure is counted and logged. A datagram is sent first. If the owner does
 * not answer it, or another peer has failed before, an RPC tells whether the peer's process still listens.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param peer - The peer.
 */
export async function exchangeHeartbeats(cluster: Cluster, peer: Peer): Promise<void> {
    if (cluster.exchangeDatagrams === undefined) {
        return callPeer(cluster, peer);
    }
    const outcome = await cluster.exchangeDatagrams(peer.address);
    cluster.metrics.peerCalls.inc({ call: "datagram", result: outcome.kind });
    switch (outcome.kind) {
        case "answered":
            return receiveAnswer(cluster, peer, outcome.heartbeat);
        case "too-large":
            return callPeer(cluster, peer);
        case "unanswered":
            if (cluster.owner?.address === peer.address || peer.failedExchanges > 0) {
                return callPeer(cluster, peer);
            }
            peer.failedExchanges += 1;
            return undefined;
        default:
            return outcome satisfies never;
    }
}

async function callPeer(cluster: Cluster, peer: Peer): Promise<void> {
    try {
        const heartbeat = composeHeartbeat(cluster);
        const answer = await peer.client.calls.exchange({ heartbeat }, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        cluster.metrics.peerCalls.inc({ call: "exchange", result: "done" });
        if (answer.heartbeat !== undefined) {
            await receiveAnswer(cluster, peer, answer.heartbeat);
        }
    }
    catch (error) {
        cluster.metrics.peerCalls.inc({ call: "exchange", result: "failed" });
        cluster.log.debug("A peer does not answer.", { peer: peer.node, error: String(error) });
        peer.client.reset();
        peer.failedExchanges += 1;
        peer.refusedConnections = isConnectionRefused(error) ? peer.refusedConnections + 1 : 0;
        requestFirstExchanges(cluster);
        detectDeadOwner(cluster, peer);
    }
}

async function receiveAnswer(cluster: Cluster, peer: Peer, heartbeat: Heartbeat): Promise<void> {
    if (receiveHeartbeat(cluster, heartbeat)) {
        await fetchConfiguration(cluster, peer);
    }
}

/** Requests an exchange with the peers that have become active in place of one that does not answer. */
function requestFirstExchanges(cluster: Cluster): void {
    listActivePeers(cluster).filter(peer => !peer.isActive).forEach(peer => peer.requestExchange());
}

function detectDeadOwner(cluster: Cluster, peer: Peer): void {
    const { owner } = cluster;
    if (
        owner !== undefined && owner.address === peer.address
        && peer.refusedConnections >= REFUSED_CONNECTIONS_LIMIT
    ) {
        cluster.log.warn("The owner's process does not listen.", {
            owner: owner.node,
            refusals: peer.refusedConnections,
        });
        cluster.onOwnerDead(owner);
    }
}

/**
 * Exchanges heartbeats with a few random active peers at once, so that a change spreads without waiting for the
 * interval.
 *
 * @param cluster - This daemon's view of the cluster.
 * @returns Resolves when the peers have answered, or have not answered in time.
 */
export async function notifyPeers(cluster: Cluster): Promise<void> {
    const notifiedPeers = sample(listActivePeers(cluster), NOTIFIED_PEER_COUNT, Math.random);
    await Promise.all(notifiedPeers.map(peer => exchangeHeartbeats(cluster, peer)));
}
