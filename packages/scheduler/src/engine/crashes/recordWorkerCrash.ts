import type { Scheduler } from "../Scheduler.js";
import type { WorkerCrash } from "./WorkerCrash.js";

/** Time over which the rate of crashes is measured, in milliseconds. */
export const CRASH_RATE_WINDOW_MS = 60_000;

/**
 * Records a crash of a worker. It may be recorded from the list of workers and from the worker's own answer, which
 * together narrow down its time.
 *
 * @param scheduler - The scheduler.
 * @param crash - The crash.
 * @returns The crash with all that is known of it.
 */
export function recordWorkerCrash(scheduler: Scheduler, crash: WorkerCrash): WorkerCrash {
    const now = scheduler.clock();
    const recent = scheduler.workerCrashes.filter(({ latestAt }) => now - latestAt < CRASH_RATE_WINDOW_MS);
    const known = recent.find(other => isSameCrash(other, crash));
    if (known === undefined) {
        scheduler.workerCrashes = [...recent, crash];
        scheduler.log.info("A worker has crashed.", {
            machine: crash.machine,
            bornMs: crash.bornMs,
            units: crash.units.length,
            sinceAnswerMs: Math.round(now - crash.earliestAt),
            sinceSilenceMs: Math.round(now - crash.latestAt),
            recentCrashes: scheduler.workerCrashes.length,
        });
        return crash;
    }
    const merged = {
        ...known,
        earliestAt: Math.max(known.earliestAt, crash.earliestAt),
        latestAt: Math.min(known.latestAt, crash.latestAt),
        units: [...new Set([...known.units, ...crash.units])],
    };
    scheduler.workerCrashes = recent.map(other => other === known ? merged : other);
    return merged;
}

function isSameCrash(left: WorkerCrash, right: WorkerCrash): boolean {
    return left.machine === right.machine
        && (left.bornMs === right.bornMs || left.bornMs === 0 || right.bornMs === 0);
}
