import type { Logger } from "winston";
import type { Metrics } from "../Metrics.js";
import type { Cluster } from "./Cluster.js";
import type { DecodeConfiguration } from "./createConfigurationKeeper.js";
import { createConfigurationKeeper } from "./createConfigurationKeeper.js";

/** What a daemon's knowledge of the others begins with. */
export type ClusterParts = {
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
 * @param parts - What it begins with.
 * @returns The knowledge, without peers, an owner or a configuration.
 */
export function createCluster(parts: ClusterParts): Cluster {
    const { node, address, decodeConfiguration, log, metrics, clock } = parts;
    return {
        node,
        address,
        peers: new Map(),
        configuration: createConfigurationKeeper(decodeConfiguration, { log, metrics }),
        log,
        metrics,
        clock,
        owner: undefined,
        depths: [],
        ownDepths: () => undefined,
        reachesStore: true,
        leaving: false,
        onOwnerDead: () => {},
        meet: () => undefined,
    };
}
