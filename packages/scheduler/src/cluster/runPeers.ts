import { HEARTBEAT_INTERVAL_MS, PEER_CALL_TIMEOUT_MS, REFUSED_CONNECTIONS_LIMIT } from "../constants.js";
import { pause } from "../pause.js";
import type { Cluster, Peer } from "./Cluster.js";
import { composeHeartbeat, receiveHeartbeat } from "./Cluster.js";
import { createPeerClient, isConnectionRefused } from "./createPeerClient.js";

/** Peers, beside the owner, with which a daemon exchanges heartbeats in each interval. */
const PEERS_PER_INTERVAL = 1;

/** Peers that are told at once of a change. */
const NOTIFIED_PEERS = 4;

/** Time after which a silent peer is forgotten in milliseconds. */
const PEER_MEMORY_MS = 60_000;

/** Peers that a daemon knows at most. */
const MAX_PEERS = 512;

/**
 * Starts one task for each peer as it becomes known.
 *
 * @param cluster - The daemon's knowledge; its `meet` is set.
 * @param signal - Ends all tasks.
 */
export function runPeers(cluster: Cluster, signal: AbortSignal): void {
    cluster.meet = (address, node) => {
        const known = cluster.peers.get(address);
        if (known !== undefined || address === cluster.address || address === "") {
            return known;
        }
        if (cluster.peers.size >= MAX_PEERS) {
            return undefined;
        }
        const peer: Peer = {
            address,
            node,
            client: createPeerClient(address),
            heardAt: Number.NEGATIVE_INFINITY,
            refusals: 0,
            reachesStore: false,
            wallOffsetMs: 0,
            leaving: false,
            end: new AbortController(),
        };
        cluster.peers.set(address, peer);
        void runPeer(cluster, peer, AbortSignal.any([signal, peer.end.signal]));
        return peer;
    };
}

async function runPeer(cluster: Cluster, peer: Peer, signal: AbortSignal): Promise<void> {
    const metAt = cluster.clock();
    cluster.log.info("A peer is known.", { peer: peer.node, address: peer.address });
    try {
        while (!signal.aborted) {
            await exchange(cluster, peer);
            if (cluster.clock() - Math.max(peer.heardAt, metAt) > PEER_MEMORY_MS) {
                cluster.log.info("A peer is forgotten.", { peer: peer.node, address: peer.address });
                return;
            }
            await pause(intervalOf(cluster, peer), signal);
        }
    }
    finally {
        cluster.peers.delete(peer.address);
        peer.client.reset();
    }
}

function intervalOf(cluster: Cluster, peer: Peer): number {
    const jitter = 0.9 + Math.random() * 0.2;
    const isOwner = cluster.owner?.address === peer.address;
    return HEARTBEAT_INTERVAL_MS * jitter
        * (isOwner ? 1 : Math.max(1, cluster.peers.size / PEERS_PER_INTERVAL));
}

async function exchange(cluster: Cluster, peer: Peer): Promise<void> {
    try {
        const heartbeat = composeHeartbeat(cluster);
        const answer = await peer.client.calls.exchange({ heartbeat }, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        cluster.metrics.peerCalls.inc({ call: "exchange", result: "done" });
        if (answer.heartbeat !== undefined && receiveHeartbeat(cluster, answer.heartbeat)) {
            await fetchConfiguration(cluster, peer);
        }
    }
    catch (error) {
        cluster.metrics.peerCalls.inc({ call: "exchange", result: "failed" });
        cluster.log.debug("A peer does not answer.", { peer: peer.node, error: String(error) });
        peer.client.reset();
        peer.refusals = isConnectionRefused(error) ? peer.refusals + 1 : 0;
        judgeOwner(cluster, peer);
    }
}

function judgeOwner(cluster: Cluster, peer: Peer): void {
    const { owner } = cluster;
    if (owner !== undefined && owner.address === peer.address && peer.refusals >= REFUSED_CONNECTIONS_LIMIT) {
        cluster.log.warn("The owner's process does not listen.", {
            owner: owner.node,
            refusals: peer.refusals,
        });
        cluster.onOwnerDead(owner);
    }
}

/**
 * Takes a newer configuration from a peer.
 *
 * @param cluster - The daemon's knowledge.
 * @param peer - The peer.
 */
export async function fetchConfiguration(cluster: Cluster, peer: Peer): Promise<void> {
    try {
        const answer = await peer.client.calls.fetchConfiguration({}, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        if (answer.text.length > 0) {
            cluster.configuration.offer(answer.text, peer.node);
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

/**
 * Tells a few peers at once, after something changed that they should know.
 *
 * @param cluster - The daemon's knowledge.
 */
export function notifyPeers(cluster: Cluster): void {
    const peers = [...cluster.peers.values()].sort(() => Math.random() - 0.5).slice(0, NOTIFIED_PEERS);
    peers.forEach(peer => void exchange(cluster, peer));
}
