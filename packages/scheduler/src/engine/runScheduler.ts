import PQueue from "p-queue";
import { createSuspensionDetector } from "../_lib/createSuspensionDetector.js";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import { keepRunning } from "../_lib/keepRunning.js";
import {
    MAX_PASS_INTERVAL_MS,
    MIN_PASS_INTERVAL_MS,
    RECONCILIATION_WAIT_MS,
    STORE_RETRY_MS,
} from "../constants.js";
import { createOrderQueue } from "../orders/createOrderQueue.js";
import { createRelativeRunTimes } from "../runTimes/createRelativeRunTimes.js";
import { createRunTimePredictor } from "../runTimes/createRunTimePredictor.js";
import { isEvacuated } from "./fleet/isEvacuated.js";
import { runUpkeep } from "./fleet/runUpkeep.js";
import { storeRoster } from "./fleet/storeRoster.js";
import { storeRunTimes } from "./fleet/storeRunTimes.js";
import { updateRelativeRunTimes } from "./fleet/updateRelativeRunTimes.js";
import { watchFleet } from "./fleet/watchFleet.js";
import { flushProgress } from "./jobs/flushProgress.js";
import { removeEndedJobs } from "./jobs/removeEndedJobs.js";
import { watchJobs } from "./jobs/watchJobs.js";
import { runPlacementPass } from "./passes/runPlacementPass.js";
import type { Ownership, Scheduler, SchedulerDependencies } from "./Scheduler.js";
import { loadState } from "./takeover/loadState.js";

/** Maximum number of concurrent holds to workers that may not answer; a new owner opens a connection for each. */
const MAX_CONCURRENT_PROBES = 64;

/** Minimum pause after a placement pass, as a multiple of its duration; answers and renewals go on meanwhile. */
const PAUSE_PER_PASS = 3;

/** Maximum number of concurrent background tasks of one term. */
const MAX_BACKGROUND_TASKS = 10_000;

/**
 * Creates the scheduler of a term, before any state is loaded.
 *
 * @param dependencies - The scheduler's dependencies.
 * @param ownership - The term of ownership.
 * @returns The scheduler.
 */
export function createScheduler(dependencies: SchedulerDependencies, ownership: Ownership): Scheduler {
    const tasks = new PQueue({ concurrency: MAX_BACKGROUND_TASKS });
    const scheduler: Scheduler = {
        ...dependencies,
        ownership,
        jobs: new Map(),
        activeJobs: new Set(),
        fleet: new Map(),
        unreconciledWorkers: new Map(),
        roster: new Map(),
        rosterBounds: new Map(),
        rosterLives: new Map(),
        rosterRevision: 0,
        isRosterUnclear: false,
        isLoaded: false,
        jobsReadAt: Number.NEGATIVE_INFINITY,
        replacedWorkers: new Map(),
        lostRuns: [],
        watchedSince: dependencies.clock(),
        workerCrashes: [],
        machineLives: new Map(),
        nextPlan: undefined,
        getSuspendedAt: createSuspensionDetector(dependencies),
        runTimePredictor: createRunTimePredictor(),
        relativeRunTimes: createRelativeRunTimes(),
        orders: createOrderQueue({ clock: dependencies.clock, onFree: () => scheduler.requestPass() }),
        probes: new PQueue({ concurrency: MAX_CONCURRENT_PROBES }),
        adviceQueue: new PQueue({ concurrency: 1 }),
        requestPass: () => {},
        requestFlush: () => {},
        spawn: task => {
            tasks.add(task).catch(error => {
                dependencies.log.error("A background task of the scheduler fails unexpectedly.", {
                    error: String((error as Error).stack),
                });
            });
        },
    };
    return scheduler;
}

/**
 * Schedules jobs until the term ends: loads the state of earlier owners, reconciles their workers and places jobs.
 *
 * @param scheduler - The scheduler of the term.
 */
export async function runScheduler(scheduler: Scheduler): Promise<void> {
    const passTrigger = createWakeSignal(scheduler.pause);
    const flushTrigger = createWakeSignal(scheduler.pause);
    scheduler.requestPass = passTrigger.notify;
    scheduler.requestFlush = flushTrigger.notify;
    keepInBackground(scheduler, "relative run times", updateRelativeRunTimes);
    keepInBackground(scheduler, "snapshot of run times", storeRunTimes);
    const revision = await loadStateWithRetries(scheduler);
    if (revision === undefined) {
        return;
    }
    scheduler.isLoaded = true;
    scheduler.jobsReadAt = scheduler.clock();
    scheduler.log.info("The state is loaded.", {
        jobs: scheduler.activeJobs.size,
        workers: scheduler.fleet.size,
        revision,
    });
    await storeRoster(scheduler);
    await Promise.all([
        watchJobs(scheduler, revision),
        watchFleet(scheduler),
        flushProgress(scheduler, flushTrigger),
        removeEndedJobs(scheduler),
        runUpkeep(scheduler),
        runPlacementPasses(scheduler, passTrigger.wait),
    ]);
}

/** Runs a task during the term whose failure does not stop placement. */
function keepInBackground(
    scheduler: Scheduler,
    name: string,
    task: (scheduler: Scheduler) => Promise<void>,
): void {
    scheduler.spawn(() => keepRunning(name, () => task(scheduler), scheduler.ownership.signal, scheduler));
}

async function loadStateWithRetries(scheduler: Scheduler): Promise<number | undefined> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted) {
        const loaded = await loadState(scheduler);
        if (loaded.isOk()) {
            return loaded.value;
        }
        scheduler.log.warn("The state cannot be loaded.", { reason: loaded.error.message });
        await scheduler.pause(STORE_RETRY_MS, signal);
    }
    return undefined;
}

async function runPlacementPasses(
    scheduler: Scheduler,
    waitForTrigger: (timeoutMs: number, signal: AbortSignal) => Promise<void>,
): Promise<void> {
    const { signal } = scheduler.ownership;
    const startedAt = scheduler.clock();
    while (!signal.aborted) {
        const passStartedAt = scheduler.clock();
        const isReconciling = [...scheduler.fleet.values()].some(worker => !worker.hasAnswered);
        if (!isReconciling || scheduler.clock() - startedAt >= RECONCILIATION_WAIT_MS) {
            runPlacementPass(scheduler);
        }
        recordEvacuatedWorkers(scheduler);
        const passMs = scheduler.clock() - passStartedAt;
        await scheduler.pause(Math.max(MIN_PASS_INTERVAL_MS, passMs * PAUSE_PER_PASS), signal);
        await waitForTrigger(MAX_PASS_INTERVAL_MS, signal);
    }
    scheduler.metrics.jobsWithoutQueue.reset();
    scheduler.metrics.evacuatedWorkers.reset();
}

function recordEvacuatedWorkers(scheduler: Scheduler): void {
    const evacuated = [...scheduler.fleet.values()].filter(worker =>
        worker.isListed && isEvacuated(scheduler, worker)
    );
    scheduler.metrics.evacuatedWorkers.set(evacuated.length);
}
