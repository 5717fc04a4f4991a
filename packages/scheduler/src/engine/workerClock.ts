import { LEASE_MARGIN_MS, MAX_WORKER_LEASE_MS, WORKER_CLOCK_DRIFT } from "../constants.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/**
 * Records the clock reading in a worker's answer.
 *
 * @param worker - The worker.
 * @param clockMs - The worker's clock in milliseconds.
 * @param now - Monotonic time of the answer in milliseconds.
 */
export function recordClock(worker: WorkerEntry, clockMs: number, now: number): void {
    worker.clockMs = clockMs;
    worker.clockReadAt = now;
    worker.lastAnswerAt = now;
}

/**
 * Returns the longest lease that the owner requests.
 *
 * @param maxHoldMs - Longest lease that a worker grants, in milliseconds.
 * @returns The lease in milliseconds on the worker's clock.
 */
export function getMaxLeaseMs(maxHoldMs: number): number {
    return Math.min(MAX_WORKER_LEASE_MS, maxHoldMs);
}

/**
 * Converts a duration on a worker's clock, which may run slow, to the longest duration on the owner's clock.
 *
 * @param workerMs - The duration on the worker's clock in milliseconds.
 * @returns The longest monotonic duration in milliseconds, with a margin for timers and connections.
 */
export function getMaxMonotonicMs(workerMs: number): number {
    return workerMs / (1 - WORKER_CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/**
 * Extends the lease of the runs on a worker.
 *
 * @param worker - The worker, on which the latest possible end of the lease is recorded.
 * @param now - Monotonic time in milliseconds.
 * @param maxHoldMs - Longest lease that the worker grants, in milliseconds.
 * @returns The end of the lease on the worker's clock, in whole milliseconds.
 */
export function extendLease(worker: WorkerEntry, now: number, maxHoldMs: number): number {
    const leaseMs = getMaxLeaseMs(maxHoldMs);
    worker.leaseEndsAt = Math.max(worker.leaseEndsAt, now + getMaxMonotonicMs(leaseMs));
    return Math.floor(estimateClockMs(worker, now) + leaseMs);
}

/** Estimates a worker's clock, never ahead of it: a lease that is too long would outlast what a successor waits for. */
function estimateClockMs(worker: WorkerEntry, now: number): number {
    return worker.clockMs + (now - worker.clockReadAt) * (1 - WORKER_CLOCK_DRIFT);
}
