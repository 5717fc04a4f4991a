import type { Logger } from "winston";
import type { Desk } from "./callers/Desk.js";
import { agreeWallClock } from "./cluster/agreeWallClock.js";
import { createCluster } from "./cluster/createCluster.js";
import type { DecodeConfiguration } from "./cluster/createConfigurationKeeper.js";
import { createRelayingStore } from "./cluster/createRelayingStore.js";
import { runMembership } from "./cluster/runMembership.js";
import { runOwnership } from "./cluster/runOwnership.js";
import { notifyPeers, runPeers } from "./cluster/runPeers.js";
import type { Listener, OwnerDesk } from "./cluster/serveCluster.js";
import { serveCluster } from "./cluster/serveCluster.js";
import { watchConfiguration } from "./cluster/watchConfiguration.js";
import { createOwnerHandler } from "./engine/createOwnerHandler.js";
import { createScheduler, runScheduler } from "./engine/runScheduler.js";
import type { Ownership, Scheduler, SchedulerBounds } from "./engine/Scheduler.js";
import type { Metrics } from "./Metrics.js";
import { pause } from "./pause.js";
import type { AdvicePort } from "./ports/AdvicePort.js";
import type { FleetStore } from "./ports/FleetStore.js";
import type { MachinePort, WaveRecords } from "./ports/MachinePort.js";
import type { WorkerPort, WorkerReport } from "./ports/WorkerPort.js";

/** What a daemon is made of. */
export type NodeParts = {
    readonly node: string;
    /** Address for peers as `IP:port`. */
    readonly peerAddress: string;
    /** Addresses of peers that may be up. */
    readonly seeds: readonly string[];
    /** The platform's store, reached directly. */
    readonly store: FleetStore;
    readonly workers: WorkerPort;
    readonly advice: AdvicePort;
    readonly machines: MachinePort;
    readonly waves: WaveRecords;
    /** Prefix of the store's keys under which workers register. */
    readonly workersPrefix: string;
    readonly decodeWorkerReport: (key: string, value: Uint8Array) => WorkerReport | undefined;
    /** Key of the operator's configuration in the store. */
    readonly configurationKey: string;
    readonly decodeConfiguration: DecodeConfiguration;
    readonly bounds: SchedulerBounds;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly clock: () => number;
};

/** A running daemon. */
export type Node = {
    /** What answering callers needs. */
    readonly desk: Desk;
    /** Whether callers can be served now. */
    readonly isReady: () => boolean;
    /** Gets in touch with peers at addresses that have become known. */
    readonly meet: (addresses: readonly string[]) => void;
    /** Hands the schedule over and leaves the cluster; calls of callers are still answered. */
    readonly leave: () => void;
    readonly close: () => Promise<void>;
};

/**
 * Starts a daemon: its peers, its watch of the configuration and its campaign for the schedule.
 *
 * @param parts - What the daemon is made of.
 * @returns The running daemon.
 */
export async function startNode(parts: NodeParts): Promise<Node> {
    const { log, metrics, clock } = parts;
    const end = new AbortController();
    const leaving = new AbortController();
    const cluster = createCluster({ ...parts, address: parts.peerAddress });
    const store = createRelayingStore(parts.store, cluster);
    let scheduler: Scheduler | undefined;
    let desk: OwnerDesk | undefined;
    const ownerDesk = (): OwnerDesk | undefined =>
        scheduler?.isLoaded && !scheduler.ownership.signal.aborted ? desk : undefined;
    cluster.ownDepths = () => ownerDesk()?.depths();
    const schedule = async (ownership: Ownership): Promise<void> => {
        scheduler = createScheduler({
            store,
            workers: parts.workers,
            node: parts.node,
            advice: parts.advice,
            machines: parts.machines,
            waves: parts.waves,
            listWorkers: () => listWorkers(parts, store),
            configuration: cluster.configuration.current,
            log,
            metrics,
            pause,
            clock,
            wallClock: () => agreeWallClock(cluster),
            bounds: parts.bounds,
        }, ownership);
        desk = createOwnerHandler(scheduler);
        await runScheduler(scheduler);
        scheduler = undefined;
    };
    cluster.configuration.onChange = () => {
        notifyPeers(cluster);
        scheduler?.requestPass();
    };
    runPeers(cluster, end.signal);
    const listener: Listener = await serveCluster(
        { cluster, store: parts.store, desk: ownerDesk },
        parts.peerAddress,
    );
    const meet: Node["meet"] = addresses => addresses.forEach(address => cluster.meet(address, address));
    meet(parts.seeds);
    const tasks = [
        runMembership(cluster, store, leaving.signal),
        watchConfiguration(cluster, store, parts.configurationKey, end.signal),
        runOwnership({ cluster, store, schedule }, leaving.signal),
    ];
    tasks.forEach(task =>
        void task.catch(error =>
            log.error("A task of the daemon meets a defect.", { error: String(error.stack) })
        )
    );
    return {
        desk: { cluster, store, ownerDesk, pause },
        isReady: () => cluster.configuration.current() !== undefined && !leaving.signal.aborted,
        meet,
        leave: () => {
            cluster.leaving = true;
            leaving.abort();
            notifyPeers(cluster);
        },
        close: async () => {
            leaving.abort();
            end.abort();
            await listener.close();
        },
    };
}

async function listWorkers(
    parts: NodeParts,
    store: FleetStore,
): Promise<readonly WorkerReport[] | undefined> {
    const listed = await store.list(parts.workersPrefix);
    if (listed.isErr()) {
        parts.log.warn("The workers cannot be listed.", { reason: listed.error.kind });
        return undefined;
    }
    return listed.value.items.flatMap(({ key, value }) => {
        const report = parts.decodeWorkerReport(key, value);
        if (report === undefined) {
            parts.log.debug("An entry names no worker.", { key });
        }
        return report === undefined ? [] : [report];
    });
}
