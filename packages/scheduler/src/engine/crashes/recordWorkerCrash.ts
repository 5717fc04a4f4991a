import type { Scheduler } from "../Scheduler.js";
import type { CrashTime, WorkerCrash } from "./WorkerCrash.js";

/** Time over which the rate of crashes is measured, in milliseconds. */
export const CRASH_RATE_WINDOW_MS = 60_000;

/** Error of the times at which machines are known to be silent, since each is called by itself, in milliseconds. */
const TIME_ERROR_MS = 50;

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
        ...mergeTimes(known, crash),
        units: [...new Set([...known.units, ...crash.units])],
    };
    scheduler.workerCrashes = recent.map(other => other === known ? merged : other);
    return merged;
}

/** A machine that was silent for long before its next life is listed counts from when it fell silent. */
function mergeTimes(left: CrashTime, right: CrashTime): CrashTime {
    if (!overlaps(left, right)) {
        return {
            earliestAt: Math.min(left.earliestAt, right.earliestAt),
            latestAt: Math.min(left.latestAt, right.latestAt),
        };
    }
    return {
        earliestAt: Math.max(left.earliestAt, right.earliestAt),
        latestAt: Math.min(left.latestAt, right.latestAt),
    };
}

/**
 * Returns whether two crashes may have happened at the same time.
 *
 * @param left - A crash, or the time in which a machine fell silent.
 * @param right - Another one.
 * @returns True if their times overlap.
 */
export function overlaps(left: CrashTime, right: CrashTime): boolean {
    return left.earliestAt <= right.latestAt + TIME_ERROR_MS
        && right.earliestAt <= left.latestAt + TIME_ERROR_MS;
}

function isSameCrash(left: WorkerCrash, right: WorkerCrash): boolean {
    return left.machine === right.machine
        && (left.bornMs === right.bornMs || left.bornMs === 0 || right.bornMs === 0);
}
