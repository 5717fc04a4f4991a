import type { WorkerId } from "../../ids.js";
import type { TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";

/** Least time for which a suspected task runs apart from others, in milliseconds. */
const MIN_ISOLATION_MS = 1_000;

/** Longest time for which a suspected task runs apart from others, in milliseconds. */
const MAX_ISOLATION_MS = 10_000;

/** Number of workers of which one may be kept for suspected tasks. */
const WORKERS_PER_ISOLATION = 4;

/**
 * Returns whether nothing is placed beside the runs of a worker, since one of them is of a suspected task.
 *
 * @param worker - The worker.
 * @param now - Monotonic time in milliseconds.
 * @returns True if a crash now would be due to the suspected task.
 */
export function isIsolated({ runs, isolatedUntil }: WorkerEntry, now: number): boolean {
    return runs.size > 0 && now < isolatedUntil;
}

/**
 * Returns whether a further worker may be kept for a suspected task: at most a quarter of the workers are.
 *
 * @param fleet - All workers.
 * @param now - Monotonic time in milliseconds.
 * @returns True if fewer workers are kept, always at least one.
 */
export function mayIsolate(fleet: ReadonlyMap<WorkerId, WorkerEntry>, now: number): boolean {
    const isolated = [...fleet.values()].filter(worker => isIsolated(worker, now)).length;
    return isolated < Math.max(1, Math.floor(fleet.size / WORKERS_PER_ISOLATION));
}

/**
 * Keeps a worker without other runs for a suspected task, until the run has lasted clearly longer than the one under
 * which a worker crashed.
 *
 * @param worker - The worker, on which the task is about to be placed.
 * @param task - The task, which is suspected.
 * @param now - Monotonic time in milliseconds.
 */
export function isolateWorker(worker: WorkerEntry, task: TaskEntry, now: number): void {
    if (worker.runs.size === 0) {
        worker.isolatedUntil = now + Math.min(MAX_ISOLATION_MS, 2 * task.crashAgeMs + MIN_ISOLATION_MS);
    }
}
