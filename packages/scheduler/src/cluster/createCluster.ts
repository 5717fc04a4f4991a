import type { Logger } from "winston";
import type { Metrics } from "../Metrics.js";
import type { Cluster } from "./Cluster.js";
import type { DecodeConfiguration } from "./createActiveConfiguration.js";
import { createActiveConfiguration } from "./createActiveConfiguration.js";
import { createActiveEvacuations } from "./createActiveEvacuations.js";

/** Options of `createCluster`. */
export type ClusterOptions = {
    readonly node: string;
    /** Address at which peers reach this daemon, as `IP:port`. */
    readonly address: string;
    /** Processor of this daemon's machine, in cores; unknown by default. */
    readonly processorCores?: number;
    readonly decodeConfiguration: DecodeConfiguration;
    readonly log: Logger;
    readonly metrics: Metrics;
    /** Returns monotonic time in milliseconds. */
    readonly clock: () => number;
};

/**
 * Creates a daemon's view of the cluster before it has contacted any peer.
 *
 * @param options - Identity of the daemon, and its decoder, log, metrics and clock.
 * @returns The view, without peers, an owner or a configuration.
 */
export function createCluster(options: ClusterOptions): Cluster {
    const { node, address, decodeConfiguration, log, metrics, clock } = options;
    return {
        node,
        address,
        processorCores: options.processorCores ?? 0,
        peers: new Map(),
        configuration: createActiveConfiguration(decodeConfiguration, { log, metrics, clock }),
        evacuations: createActiveEvacuations({ log, metrics }),
        log,
        metrics,
        clock,
        owner: undefined,
        queueDepths: undefined,
        countQueueDepths: () => undefined,
        reachesStore: true,
        leaving: false,
        handedOverAt: Number.NEGATIVE_INFINITY,
        exchangeDatagrams: undefined,
        onOwnerDead: () => {},
        onNewerOwner: () => {},
        addPeer: () => undefined,
    };
}
