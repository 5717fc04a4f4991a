import type { Heartbeat, HeartbeatSchema, QueueDepth } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { Logger } from "winston";
import type { Metrics } from "../Metrics.js";
import type { ActiveConfiguration } from "./createActiveConfiguration.js";
import type { PeerClient } from "./createPeerClient.js";

/** The daemon that schedules, as this daemon believes. */
export type KnownOwner = {
    readonly node: string;
    readonly address: string;
    /** Revision at which its term began; the highest one is the newest. */
    readonly revision: number;
};

/** Another daemon. */
export type Peer = {
    readonly address: string;
    node: string;
    readonly client: PeerClient;
    /** Steady time of its last answer or call. */
    lastContactAt: number;
    /** Refused connections in a row. */
    refusedConnections: number;
    /** Whether its last store call was answered. */
    reachesStore: boolean;
    /** Its time of day minus this daemon's, in milliseconds. */
    wallClockOffsetMs: number;
    leaving: boolean;
    /** Ends the peer's task. */
    readonly abortController: AbortController;
};

/** What a daemon knows of the others. */
export type Cluster = {
    readonly node: string;
    readonly address: string;
    readonly peers: Map<string, Peer>;
    readonly configuration: ActiveConfiguration;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly clock: () => number;
    owner: KnownOwner | undefined;
    /** Waiting jobs by queue, as the owner last told. */
    queueDepths: readonly QueueDepth[];
    /** Counts the waiting jobs while this daemon schedules. */
    countQueueDepths: () => readonly QueueDepth[] | undefined;
    /** Whether this daemon's last direct store call was answered. */
    reachesStore: boolean;
    leaving: boolean;
    /** Called when the owner's process is certainly dead. */
    onOwnerDead: (owner: KnownOwner) => void;
    /** Starts the task of a peer that has become known. */
    addPeer: (address: string, node: string) => Peer | undefined;
};

/**
 * Composes what this daemon tells its peers.
 *
 * @param cluster - The daemon's knowledge.
 * @returns The heartbeat.
 */
export function composeHeartbeat(cluster: Cluster): MessageInitShape<typeof HeartbeatSchema> {
    return {
        sender: { node: cluster.node, address: cluster.address },
        configurationVersion: cluster.configuration.current()?.version ?? 0,
        ...(cluster.owner === undefined
            ? {}
            : { owner: { node: cluster.owner.node, address: cluster.owner.address } }),
        ownerRevision: cluster.owner?.revision ?? 0,
        depths: [...cluster.countQueueDepths() ?? []],
        peers: [...cluster.peers.values()]
            .filter(peer => !peer.leaving && peer.lastContactAt > Number.NEGATIVE_INFINITY)
            .map(({ node, address }) => ({ node, address })),
        wallMs: Date.now(),
        storeReachable: cluster.reachesStore,
        leaving: cluster.leaving,
    };
}

/**
 * Takes in what a peer tells.
 *
 * @param cluster - The daemon's knowledge.
 * @param heartbeat - What the peer tells.
 * @returns Whether the peer has a newer configuration.
 */
export function receiveHeartbeat(cluster: Cluster, heartbeat: Heartbeat): boolean {
    const { sender } = heartbeat;
    const peer = sender === undefined ? undefined : cluster.addPeer(sender.address, sender.node);
    if (peer !== undefined) {
        peer.node = sender!.node;
        peer.lastContactAt = cluster.clock();
        peer.refusedConnections = 0;
        peer.reachesStore = heartbeat.storeReachable;
        peer.leaving = heartbeat.leaving;
        peer.wallClockOffsetMs = heartbeat.wallMs - Date.now();
    }
    heartbeat.peers.forEach(({ address, node }) => cluster.addPeer(address, node));
    if (heartbeat.owner !== undefined) {
        const { node, address } = heartbeat.owner;
        updateOwner(cluster, { node, address, revision: heartbeat.ownerRevision });
        if (sender?.address === cluster.owner?.address) {
            cluster.queueDepths = heartbeat.depths;
        }
    }
    return heartbeat.configurationVersion > (cluster.configuration.current()?.version ?? 0);
}

/**
 * Takes in who schedules; an older owner than the known one is passed over.
 *
 * @param cluster - The daemon's knowledge.
 * @param owner - The owner.
 */
export function updateOwner(cluster: Cluster, owner: KnownOwner): void {
    if (owner.revision > (cluster.owner?.revision ?? 0)) {
        cluster.owner = owner;
        cluster.log.info("A newer owner is known.", { owner: owner.node, revision: owner.revision });
    }
}
