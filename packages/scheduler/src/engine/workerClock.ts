import { LEASE_MARGIN_MS, WORKER_CLOCK_DRIFT, WORKER_LEASE_MS } from "../constants.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/**
 * Notes the clock that a worker stated in an answer.
 *
 * @param worker - The worker.
 * @param clockMs - The worker's clock in milliseconds.
 * @param now - Steady time of the answer in milliseconds.
 */
export function recordClock(worker: WorkerEntry, clockMs: number, now: number): void {
    worker.clockMs = clockMs;
    worker.clockReadAt = now;
    worker.answeredAt = now;
}

/**
 * Returns the longest lease that the owner gives.
 *
 * @param maxHoldMs - Longest lease that a worker grants, in milliseconds.
 * @returns The lease in milliseconds on the worker's clock.
 */
export function maxLeaseMs(maxHoldMs: number): number {
    return Math.min(WORKER_LEASE_MS, maxHoldMs);
}

/**
 * Returns how long a span of a worker's clock, which may be slow, lasts at most.
 *
 * @param workerMs - The span on the worker's clock in milliseconds.
 * @returns The steady time in milliseconds, with an allowance for timers and connections.
 */
export function maxMonotonicMs(workerMs: number): number {
    return workerMs / (1 - WORKER_CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/**
 * Extends the lease of what runs on a worker.
 *
 * @param worker - The worker; the latest time at which the lease may end is noted on it.
 * @param now - Steady time in milliseconds.
 * @param maxHoldMs - Longest lease that the worker grants, in milliseconds.
 * @returns The lease's end on the worker's clock, in whole milliseconds.
 */
export function extendLease(worker: WorkerEntry, now: number, maxHoldMs: number): number {
    const leaseMs = maxLeaseMs(maxHoldMs);
    const sinceReadMs = now - worker.clockReadAt;
    const latestEndMs = worker.clockReadAt + maxMonotonicMs(sinceReadMs + leaseMs);
    worker.leaseEndsAt = Math.max(worker.leaseEndsAt, latestEndMs);
    return Math.floor(worker.clockMs + sinceReadMs + leaseMs);
}
