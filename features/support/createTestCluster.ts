import winston from "winston";
import type { Cluster } from "../../packages/scheduler/src/cluster/Cluster.js";
import { createCluster } from "../../packages/scheduler/src/cluster/createCluster.js";
import { createMetrics } from "../../packages/scheduler/src/Metrics.js";

/**
 * Creates a daemon's view of a cluster that logs nothing and expects no configuration.
 *
 * @param node - Name of the daemon.
 * @param address - Address at which its peers reach it, as `IP:port`.
 * @param clock - Returns the monotonic time in milliseconds; by default that of the process.
 * @returns The view, without peers.
 */
export function createTestCluster(
    node: string,
    address: string,
    clock = (): number => performance.now(),
): Cluster {
    return createCluster({
        node,
        address,
        decodeConfiguration: () => {
            throw new Error("No configuration is expected.");
        },
        log: winston.createLogger({ silent: true }),
        metrics: createMetrics(),
        clock,
    });
}
