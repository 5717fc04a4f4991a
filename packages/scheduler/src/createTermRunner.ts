import type { Cluster } from "./cluster/Cluster.js";
import { couldMissNewOwner } from "./cluster/couldMissNewOwner.js";
import { getMedianWallClockMs } from "./cluster/getMedianWallClockMs.js";
import { readOperatorKeys } from "./cluster/readOperatorKeys.js";
import type { OwnerService } from "./cluster/serveCluster.js";
import { createWorkerLister } from "./createWorkerLister.js";
import { createOwnerService } from "./engine/createOwnerService.js";
import { createScheduler, runScheduler } from "./engine/runScheduler.js";
import type { Ownership, Scheduler } from "./engine/Scheduler.js";
import { pause } from "./pause.js";
import type { FleetStore } from "./ports/FleetStore.js";
import type { NodeOptions } from "./startNode.js";

/** Runs a scheduler in each term in which this daemon is the owner. */
export type TermRunner = {
    /** Runs the scheduler of a term until the term ends. */
    readonly schedule: (ownership: Ownership) => Promise<void>;
    /** Returns the owner's service if this daemon is the owner and has loaded the state, otherwise `undefined`. */
    readonly localOwner: () => OwnerService | undefined;
    /** Requests a placement pass if this daemon is the owner. */
    readonly requestPass: () => void;
};

/**
 * Creates the runner of a daemon's terms.
 *
 * @param options - The settings of the daemon and the ports it uses.
 * @param cluster - The daemon's view of the cluster.
 * @param store - The store, called directly or through a peer.
 * @returns The runner; no term has begun.
 */
export function createTermRunner(options: NodeOptions, cluster: Cluster, store: FleetStore): TermRunner {
    const listWorkers = createWorkerLister(store, options);
    let scheduler: Scheduler | undefined;
    let ownerService: OwnerService | undefined;
    return {
        schedule: async ownership => {
            scheduler = createScheduler({
                store,
                workers: options.workers,
                node: options.node,
                advice: options.advice,
                machines: options.machines,
                waveRecordFormat: options.waveRecordFormat,
                listWorkers,
                configuration: cluster.configuration.current,
                evacuatedDataCentres: cluster.evacuations.current,
                readEvacuations: async () =>
                    await readOperatorKeys(cluster, store, options.operatorKeys) !== undefined,
                log: options.log,
                metrics: options.metrics,
                pause,
                clock: options.clock,
                wallClock: () => getMedianWallClockMs(cluster),
                machineWallClock: () => Date.now(),
                bounds: options.bounds,
            }, ownership);
            ownerService = createOwnerService(scheduler, {
                couldMissJobs: () => cluster.reachesStore || couldMissNewOwner(cluster),
            });
            await runScheduler(scheduler);
            scheduler = undefined;
        },
        localOwner: () =>
            scheduler?.isLoaded && !scheduler.ownership.signal.aborted ? ownerService : undefined,
        requestPass: () => scheduler?.requestPass(),
    };
}
