import type { Heartbeat, HeartbeatSchema, QueueDepth } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Logger } from "winston";
import { sample } from "../_lib/sample.js";
import type { Metrics } from "../Metrics.js";
import type { ActiveConfiguration } from "./createActiveConfiguration.js";
import type { ActiveEvacuations } from "./createActiveEvacuations.js";
import type { DatagramOutcome } from "./createDatagramExchange.js";
import type { PeerClient } from "./createPeerClient.js";

/** Number of random peers that a heartbeat lists; the size of a heartbeat does not depend on that of the cluster. */
const MAX_LISTED_PEERS = 5;

/** The owner, the daemon that schedules, as far as this daemon knows. */
export type KnownOwner = {
    readonly node: string;
    readonly address: string;
    /** Store revision at which its term began; of two owners, the one with the higher revision is the newer. */
    readonly revision: number;
};

/** Another daemon of the cluster, as this daemon sees it. */
export type Peer = {
    readonly address: string;
    node: string;
    readonly client: PeerClient;
    /** Random number from 0 to below 1; in a large cluster, heartbeats are exchanged with the peers of lowest rank. */
    readonly rank: number;
    /** Whether this daemon exchanges heartbeats with the peer, as far as the peer's task has found. */
    isActive: boolean;
    /** Monotonic time of its last answer or call in milliseconds; negative infinity before the first. */
    lastContactAt: number;
    /** Number of consecutive exchanges of heartbeats that this daemon began and that failed. */
    failedExchanges: number;
    /** Number of consecutive refused connections. */
    refusedConnections: number;
    /** Whether it reaches the store, according to its last heartbeat; false after a relay through it failed. */
    reachesStore: boolean;
    /** Version of its configuration, according to its last heartbeat; 0 before the first. */
    configurationVersion: number;
    /** Whether this daemon is fetching the peer's configuration. */
    isFetchingConfiguration: boolean;
    /** Its wall clock minus this daemon's, in milliseconds. */
    wallClockOffsetMs: number;
    leaving: boolean;
    /** Processor of its machine, in cores; 0 if unknown. */
    processorCores: number;
    /** Exchanges heartbeats with the peer at once, rather than after the interval. */
    readonly requestExchange: () => void;
    /** Ends the task that exchanges heartbeats with the peer. */
    readonly abortController: AbortController;
};

/** The numbers of pending jobs by queue that the owner has sent. */
export type ReceivedQueueDepths = {
    readonly depths: readonly QueueDepth[];
    /** Monotonic time of the heartbeat that contained them, in milliseconds. */
    readonly receivedAt: number;
};

/** This daemon's view of the cluster: its peers, the owner and the configuration in force. */
export type Cluster = {
    readonly node: string;
    readonly address: string;
    /** Processor of this daemon's machine, in cores; 0 if unknown. */
    readonly processorCores: number;
    readonly peers: Map<string, Peer>;
    readonly configuration: ActiveConfiguration;
    readonly evacuations: ActiveEvacuations;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly clock: () => number;
    owner: KnownOwner | undefined;
    /** Number of pending jobs by queue, from the last heartbeat of an owner that knew them. */
    queueDepths: ReceivedQueueDepths | undefined;
    /** Counts the pending jobs by queue; returns `undefined` unless this daemon is the owner and knows all jobs. */
    countQueueDepths: () => readonly QueueDepth[] | undefined;
    /** Whether this daemon's last direct store call was answered. */
    reachesStore: boolean;
    leaving: boolean;
    /** Monotonic time at which this daemon last gave up the ownership for a faster one, in milliseconds. */
    handedOverAt: number;
    /** Exchanges heartbeats by datagrams with the peer of an address; `undefined` if this daemon uses RPC only. */
    exchangeDatagrams: ((address: string) => Promise<DatagramOutcome>) | undefined;
    /** Called when connections to the owner are refused repeatedly, so that its process is taken to be dead. */
    onOwnerDead: (owner: KnownOwner) => void;
    /** Called when a newer owner becomes known, this daemon itself included. */
    onNewerOwner: (owner: KnownOwner) => void;
    /**
     * Adds a peer and starts its task. Returns the existing peer if the address is known, and `undefined` for this
     * daemon's own address, an empty address, or when the peer limit is reached.
     */
    addPeer: (address: string, node: string) => Peer | undefined;
};

/**
 * Composes the heartbeat that this daemon sends to its peers.
 *
 * @param cluster - This daemon's view of the cluster.
 * @returns The heartbeat.
 */
export function composeHeartbeat(cluster: Cluster): MessageInitShape<typeof HeartbeatSchema> {
    const depths = cluster.countQueueDepths();
    return {
        sender: { node: cluster.node, address: cluster.address },
        configurationVersion: cluster.configuration.current()?.version ?? 0,
        ...(cluster.owner === undefined
            ? {}
            : { owner: { node: cluster.owner.node, address: cluster.owner.address } }),
        ownerRevision: cluster.owner?.revision ?? 0,
        depths: [...depths ?? []],
        depthsUnknown: depths === undefined,
        peers: sample(listKnownPeers(cluster), MAX_LISTED_PEERS, Math.random)
            .map(({ node, address }) => ({ node, address })),
        wallMs: Date.now(),
        storeReachable: cluster.reachesStore,
        leaving: cluster.leaving,
        processorCores: cluster.processorCores,
    };
}

/** Lists the peers that this daemon has heard from, except those that are leaving. */
function listKnownPeers({ peers }: Cluster): readonly Peer[] {
    return [...peers.values()].filter(peer => !peer.leaving && peer.lastContactAt > Number.NEGATIVE_INFINITY);
}

/**
 * Updates the view of the cluster from a peer's heartbeat.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param heartbeat - The received heartbeat.
 * @returns Whether the peer has a newer configuration than this daemon.
 */
export function receiveHeartbeat(cluster: Cluster, heartbeat: Heartbeat): boolean {
    const { sender } = heartbeat;
    const peer = sender === undefined ? undefined : cluster.addPeer(sender.address, sender.node);
    if (peer !== undefined) {
        peer.node = sender!.node;
        peer.lastContactAt = cluster.clock();
        peer.failedExchanges = 0;
        peer.refusedConnections = 0;
        peer.reachesStore = heartbeat.storeReachable;
        peer.configurationVersion = heartbeat.configurationVersion;
        peer.leaving = heartbeat.leaving;
        peer.processorCores = heartbeat.processorCores;
        peer.wallClockOffsetMs = heartbeat.wallMs - Date.now();
    }
    heartbeat.peers.forEach(({ address, node }) => cluster.addPeer(address, node));
    if (heartbeat.owner !== undefined) {
        const { node, address } = heartbeat.owner;
        updateOwner(cluster, { node, address, revision: heartbeat.ownerRevision });
        if (sender?.address === cluster.owner?.address && !heartbeat.depthsUnknown) {
            cluster.queueDepths = { depths: heartbeat.depths, receivedAt: cluster.clock() };
        }
    }
    return heartbeat.configurationVersion > (cluster.configuration.current()?.version ?? 0);
}

/**
 * Records a newer owner, and requests its heartbeat; an owner whose revision is not higher than the known one's is
 * ignored.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param owner - The owner that was read or received.
 */
export function updateOwner(cluster: Cluster, owner: KnownOwner): void {
    if (owner.revision > (cluster.owner?.revision ?? 0)) {
        cluster.owner = owner;
        cluster.log.info("A newer owner is known.", { owner: owner.node, revision: owner.revision });
        cluster.onNewerOwner(owner);
        cluster.peers.get(owner.address)?.requestExchange();
    }
}
