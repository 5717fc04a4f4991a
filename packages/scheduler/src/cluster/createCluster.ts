import type { Logger } from "winston";
import type { Metrics } from "../Metrics.js";
import type { Cluster } from "./Cluster.js";
import type { DecodeConfiguration } from "./createActiveConfiguration.js";
import { createActiveConfiguration } from "./createActiveConfiguration.js";

/** What a daemon's knowledge of the others begins with. */
export type ClusterOptions = {
    readonly node: string;
    /** Address for peers as `IP:port`. */
    readonly address: string;
    readonly decodeConfiguration: DecodeConfiguration;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly clock: () => number;
};

/**
 * Creates what a daemon knows of the others before it has heard from any.
 *
 * @param options - What it begins with.
 * @returns The knowledge, without peers, an owner or a configuration.
 */
export function createCluster(options: ClusterOptions): Cluster {
    const { node, address, decodeConfiguration, log, metrics, clock } = options;
    return {
        node,
        address,
        peers: new Map(),
        configuration: createActiveConfiguration(decodeConfiguration, { log, metrics }),
        log,
        metrics,
        clock,
        owner: undefined,
        queueDepths: [],
        countQueueDepths: () => undefined,
        reachesStore: true,
        leaving: false,
        onOwnerDead: () => {},
        addPeer: () => undefined,
    };
}
