import PQueue from "p-queue";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import {
    MAX_PASS_INTERVAL_MS,
    MIN_PASS_INTERVAL_MS,
    RECONCILIATION_WAIT_MS,
    STORE_RETRY_MS,
} from "../constants.js";
import { createRunTimes } from "./createRunTimes.js";
import { flushProgress } from "./flushProgress.js";
import { loadState } from "./loadState.js";
import { planPass } from "./planPass.js";
import { removeEndedJobs } from "./removeEndedJobs.js";
import { runUpkeep } from "./runUpkeep.js";
import type { Ownership, Scheduler, SchedulerParts } from "./Scheduler.js";
import { keepRoster, watchFleet } from "./watchFleet.js";
import { watchJobs } from "./watchJobs.js";

/** Background tasks of one term that may run at once. */
const MAX_TASKS = 10_000;

/**
 * Creates the scheduler of a term, with nothing loaded.
 *
 * @param parts - What it works with.
 * @param ownership - The term.
 * @returns The scheduler.
 */
export function createScheduler(parts: SchedulerParts, ownership: Ownership): Scheduler {
    const tasks = new PQueue({ concurrency: MAX_TASKS });
    return {
        ...parts,
        ownership,
        jobs: new Map(),
        active: new Set(),
        fleet: new Map(),
        unreconciled: new Set(),
        unknownRunsEndAt: 0,
        roster: new Set(),
        rosterRevision: 0,
        loaded: false,
        runTimes: createRunTimes(),
        adviceCalls: new PQueue({ concurrency: 1 }),
        wake: () => {},
        wakeFlush: () => {},
        spawn: task => {
            tasks.add(task).catch(error => {
                parts.log.error("A task of the scheduler meets a defect.", {
                    error: String((error as Error).stack),
                });
            });
        },
    };
}

/**
 * Schedules until the term ends: loads what earlier owners left, asks their workers, and places jobs.
 *
 * @param scheduler - The scheduler of the term.
 */
export async function runScheduler(scheduler: Scheduler): Promise<void> {
    const passBell = createWakeSignal(scheduler.pause);
    const flushBell = createWakeSignal(scheduler.pause);
    scheduler.wake = passBell.notify;
    scheduler.wakeFlush = flushBell.notify;
    const revision = await loadUntilDone(scheduler);
    if (revision === undefined) {
        return;
    }
    scheduler.loaded = true;
    scheduler.log.info("The state is loaded.", {
        jobs: scheduler.active.size,
        workers: scheduler.fleet.size,
        revision,
    });
    await keepRoster(scheduler);
    await Promise.all([
        watchJobs(scheduler, revision),
        watchFleet(scheduler),
        flushProgress(scheduler, flushBell),
        removeEndedJobs(scheduler),
        runUpkeep(scheduler),
        runPasses(scheduler, passBell.wait),
    ]);
}

async function loadUntilDone(scheduler: Scheduler): Promise<number | undefined> {
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

async function runPasses(
    scheduler: Scheduler,
    wait: (timeoutMs: number, signal: AbortSignal) => Promise<void>,
): Promise<void> {
    const { signal } = scheduler.ownership;
    const begunAt = scheduler.clock();
    while (!signal.aborted) {
        const isReconciling = [...scheduler.fleet.values()].some(worker => !worker.hasAnswered);
        if (!isReconciling || scheduler.clock() - begunAt >= RECONCILIATION_WAIT_MS) {
            planPass(scheduler);
        }
        await scheduler.pause(MIN_PASS_INTERVAL_MS, signal);
        await wait(MAX_PASS_INTERVAL_MS, signal);
    }
}
