import { createEndpointPool, FairQueue } from "@balsamward/admission";
import type { Environment } from "@balsamward/coordination";
import { createConfigurationTracker, createHttpStoreTransport, createStore } from "@balsamward/coordination";
import type { Configuration, DaemonSettings, DataCentreId, NodeId } from "@balsamward/schema";
import { randomUUID } from "node:crypto";
import PQueue from "p-queue";
import type { Logger } from "winston";
import { compileConfiguration } from "./_lib/compileConfiguration.js";
import { createTaskGroup } from "./_lib/createTaskGroup.js";
import { updateLimitShares } from "./callers/updateLimitShares.js";
import type { DaemonState } from "./DaemonState.js";
import { createWorkerClient } from "./fleet/WorkerClient.js";
import { createMetrics } from "./Metrics.js";
import { createMembership } from "./peers/Membership.js";

/**
 * Creates the state of a daemon that has just started: it knows no configuration, VMs or peers and holds no lease.
 *
 * @param settings - The validated settings.
 * @param log - The logger.
 * @returns The state; its configuration tracker puts each accepted configuration in force.
 *
 * @example
 * const state = createDaemonState(settings, log);
 */
export function createDaemonState(settings: DaemonSettings, log: Logger): DaemonState {
    const { node, listeners, platform } = settings;
    const metrics = createMetrics();
    const clock = () => performance.now();
    const dataCentre = node!.dataCentre as DataCentreId;
    const state: DaemonState = {
        node: node!.id as NodeId,
        incarnation: randomUUID(),
        environment: node!.environment as Environment,
        dataCentre,
        peerAddress: listeners!.peers,
        log,
        metrics,
        store: createStore(createHttpStoreTransport(platform!.store, {
            onCall: (operation, result) => metrics.storeCalls.inc({ operation, result }),
        })),
        workerClient: createWorkerClient(),
        endpointPool: createEndpointPool({ dataCentre, clock, random: Math.random }),
        requestQueue: new PQueue({ concurrency: 1, queueClass: FairQueue }),
        kindControls: new Map(),
        configurationTracker: createConfigurationTracker(configuration =>
            activateConfiguration(state, configuration)
        ),
        membership: createMembership(clock),
        ownedCells: new Map(),
        backgroundTasks: createTaskGroup(error =>
            log.error("A background task of the daemon fails.", { error: String(error) })
        ),
        random: Math.random,
        activeConfiguration: undefined,
        vms: [],
        memberLease: undefined,
        claimLease: undefined,
        lastWatchEventAt: Number.NEGATIVE_INFINITY,
        isStopping: false,
        isDraining: false,
    };
    return state;
}

function activateConfiguration(state: DaemonState, configuration: Configuration): void {
    const compiled = compileConfiguration(configuration);
    if (compiled.isErr()) {
        state.log.error("The accepted configuration cannot be used. Upgrade this daemon.", {
            error: compiled.error,
        });
        return;
    }
    state.activeConfiguration = compiled.value;
    state.metrics.configurationGeneration.set(Number(configuration.generation));
    updateLimitShares(state);
    state.log.info("A configuration is in force.", { generation: String(configuration.generation) });
}
