import type { Logger } from "winston";
import { keepRunning } from "./_lib/keepRunning.js";
import type { CallContext } from "./callers/CallContext.js";
import { createSharedLease } from "./callers/createSharedLease.js";
import type { DecodeConfiguration } from "./cluster/createActiveConfiguration.js";
import { createCluster } from "./cluster/createCluster.js";
import { createRelayingStore } from "./cluster/createRelayingStore.js";
import { openHeartbeatSocket } from "./cluster/openHeartbeatSocket.js";
import type { OperatorKeys } from "./cluster/OperatorKeys.js";
import { runMembership } from "./cluster/runMembership.js";
import type { OwnershipOptions } from "./cluster/runOwnership.js";
import { runOwnership } from "./cluster/runOwnership.js";
import { notifyPeers, runPeers } from "./cluster/runPeers.js";
import { serveCluster } from "./cluster/serveCluster.js";
import { watchConfiguration } from "./cluster/watchConfiguration.js";
import { createTermRunner } from "./createTermRunner.js";
import type { SchedulerBounds } from "./engine/Scheduler.js";
import type { ListenOptions } from "./listenOn.js";
import type { Metrics } from "./Metrics.js";
import { pause } from "./pause.js";
import type { AdvicePort } from "./ports/AdvicePort.js";
import type { FleetStore } from "./ports/FleetStore.js";
import type { MachinePort, WaveRecordFormat } from "./ports/MachinePort.js";
import type { WorkerPort, WorkerReport } from "./ports/WorkerPort.js";
import type { CloseOptions } from "./startRpcListener.js";
import { waitAtMost } from "./waitAtMost.js";

/** Time after which a close no longer waits, in milliseconds; short, as it comes at the end of a grace period. */
const CLOSE_TIMEOUT_MS = 400;

/** Options of `startNode`: the settings of a daemon and the ports it uses. */
export type NodeOptions = {
    readonly node: string;
    /** Address on which the daemon serves its peers, as `IP:port`. */
    readonly peerAddress: string;
    /** UDP port for heartbeats between daemons, the same on all of them; 0 to exchange them by RPC only. */
    readonly heartbeatPort: number;
    /** Processor of the daemon's machine, in cores; 0 if unknown. */
    readonly processorCores: number;
    /** Addresses of peers to contact at the start, as `IP:port`; they need not be reachable. */
    readonly seeds: readonly string[];
    /** The platform's store, called directly rather than through a peer. */
    readonly store: FleetStore;
    readonly workers: WorkerPort;
    readonly advice: AdvicePort;
    readonly machines: MachinePort;
    readonly waveRecordFormat: WaveRecordFormat;
    /** Prefix of the store keys under which workers register. */
    readonly workersPrefix: string;
    readonly decodeWorkerReport: (key: string, value: Uint8Array) => WorkerReport | undefined;
    readonly operatorKeys: OperatorKeys;
    readonly decodeConfiguration: DecodeConfiguration;
    readonly bounds: SchedulerBounds;
    /** How the daemon comes to listen to its peers. */
    readonly listenOptions: ListenOptions;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly clock: () => number;
};

/** A running daemon. */
export type Node = {
    /** The services that the handlers of callers' requests use. */
    readonly callContext: CallContext;
    /** Returns whether the daemon can serve callers now: it has a configuration and is not leaving. */
    readonly isReady: () => boolean;
    /** Starts to exchange heartbeats with the peers at these addresses. */
    readonly addPeers: (addresses: readonly string[]) => void;
    /** Gives up the ownership and leaves the cluster; callers are still answered. */
    readonly leave: () => void;
    /**
     * Waits until the leases in the store and the calls of peers have ended and some peers know that the daemon leaves,
     * and ends the exchange with peers.
     */
    readonly close: (options?: CloseOptions) => Promise<void>;
};

/**
 * Starts a daemon: its membership of the cluster, its exchange of heartbeats with peers, its watch of the
 * configuration and its attempts to become the owner, the daemon that schedules.
 *
 * @param options - The settings of the daemon and the ports it uses.
 * @returns The running daemon.
 */
export async function startNode(options: NodeOptions): Promise<Node> {
    const { log, clock } = options;
    const closing = new AbortController();
    const leaving = new AbortController();
    const cluster = createCluster({ ...options, address: options.peerAddress });
    const store = createRelayingStore(options.store, cluster);
    const termRunner = createTermRunner(options, cluster, store);
    const { localOwner, requestPass } = termRunner;
    cluster.countQueueDepths = () => localOwner()?.countQueueDepths();
    cluster.configuration.onChange = () => {
        void notifyPeers(cluster);
        requestPass();
    };
    cluster.evacuations.onChange = requestPass;
    runPeers(cluster, closing.signal);
    const { listenOptions } = options;
    const clusterContext = { cluster, store: options.store, localOwner, listenOptions };
    const listener = await serveCluster(clusterContext, options.peerAddress);
    // After the listener, since a predecessor that still has its address has the port for heartbeats as well.
    const heartbeatSocket = options.heartbeatPort === 0
        ? undefined
        : await openHeartbeatSocket(cluster, options.heartbeatPort);
    const addPeers: Node["addPeers"] = addresses =>
        addresses.forEach(address => cluster.addPeer(address, address));
    addPeers(options.seeds);
    const leasesEnded = startBackgroundTasks(
        { ...options, cluster, store, schedule: termRunner.schedule },
        leaving,
        closing,
    );
    let notice: Promise<void> | undefined;
    return {
        callContext: {
            cluster,
            store,
            withdrawalLease: createSharedLease(store, clock),
            localOwner,
            pause,
        },
        isReady: () => cluster.configuration.current() !== undefined && !leaving.signal.aborted,
        addPeers,
        leave: () => {
            cluster.leaving = true;
            leaving.abort();
            notice = notifyPeers(cluster);
        },
        close: async ({ timeoutMs = CLOSE_TIMEOUT_MS } = {}) => {
            leaving.abort();
            const [haveLeasesEnded] = await Promise.all([
                waitAtMost(timeoutMs, leasesEnded),
                listener.close({ timeoutMs }),
                waitAtMost(timeoutMs, Promise.resolve(notice)),
            ]);
            if (!haveLeasesEnded) {
                log.warn("The leases in the store are not ended; they expire.", { timeoutMs });
            }
            // Only now: the last calls to the store may have been relayed through peers.
            closing.abort();
            heartbeatSocket?.close();
        },
    };
}

/** What the background tasks of a daemon use. */
type BackgroundContext = OwnershipOptions & Pick<NodeOptions, "operatorKeys" | "log">;

/**
 * Starts the tasks that keep the daemon a member, watch the configuration and claim the ownership.
 *
 * @returns Resolves when the daemon has left and has ended its leases in the store.
 */
function startBackgroundTasks(
    { cluster, store, schedule, operatorKeys, log }: BackgroundContext,
    leaving: AbortController,
    closing: AbortController,
): Promise<unknown> {
    const run = (name: string, task: (signal: AbortSignal) => Promise<void>, end: AbortController) =>
        keepRunning(name, () => task(end.signal), end.signal, { log, pause });
    void run(
        "configuration",
        signal => watchConfiguration(cluster, store, operatorKeys, signal),
        closing,
    );
    return Promise.all([
        run("membership", signal => runMembership(cluster, store, signal), leaving),
        run("ownership", signal => runOwnership({ cluster, store, schedule }, signal), leaving),
    ]);
}
