import type { WorkerEntry } from "./WorkerEntry.js";

/** Factor by which the runs of a worker that has just started are expected to take longer. */
const COLD_FACTOR = 2;

/**
 * Returns how long a run that starts now on a worker is expected to take, relative to a typical worker.
 *
 * @param worker - The worker.
 * @param now - Monotonic time in milliseconds.
 * @returns The relative run time; above 1 for a slow or a cold worker.
 */
export function getExpectedRelativeRunTime(
    { relativeRunTime, coldUntil }: WorkerEntry,
    now: number,
): number {
    return now < coldUntil ? relativeRunTime * COLD_FACTOR : relativeRunTime;
}
