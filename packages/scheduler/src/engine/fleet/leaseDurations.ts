import { LEASE_MARGIN_MS, MAX_WORKER_LEASE_MS, WORKER_CLOCK_DRIFT } from "../../constants.js";

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
