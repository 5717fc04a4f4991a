import {
    LEASE_MARGIN_MS,
    MAX_WORKER_LEASE_MS,
    OWNER_LEASE_TTL_MS,
    WORKER_CLOCK_DRIFT,
} from "../../constants.js";
import type { ClockReading, WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Records the clock reading in a worker's answer.
 *
 * @param worker - The worker.
 * @param clockMs - The worker's clock in milliseconds.
 * @param now - Monotonic time of the answer in milliseconds.
 */
export function recordClock(worker: WorkerEntry, clockMs: number, now: number): void {
    worker.clock = { clockMs, readAt: now };
    worker.unconfirmedClock ??= worker.clock;
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
 * A successor waits for the leases of this owner, counted from its own takeover. An owner that does not know that it
 * was replaced, for instance since it was suspended, must not extend a lease beyond that. Its own clock cannot tell, as
 * it may have stood still. So the end is limited by a reading of the worker's clock that is older than the last
 * proof of the ownership, and therefore than any takeover.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which has answered; the latest possible end of its lease is recorded on it.
 * @returns The end of the lease on the worker's clock, in whole milliseconds.
 */
export function extendLease(
    { clock, bounds, ownership, log }: Pick<Scheduler, "clock" | "bounds" | "ownership" | "log">,
    worker: WorkerEntry,
): number {
    const now = clock();
    const heldAt = ownership.heldAt();
    const leaseMs = getMaxLeaseMs(bounds.maxHoldMs);
    confirmClock(worker, heldAt);
    const requestedEndMs = estimateClockMs(worker.clock, now) + leaseMs;
    const latestEndMs = estimateClockMs(worker.confirmedClock ?? worker.unconfirmedClock, heldAt)
        + OWNER_LEASE_TTL_MS
        + leaseMs;
    const isLimited = requestedEndMs > latestEndMs;
    if (isLimited && !worker.isLeaseLimited) {
        log.info("A lease is limited by the last proof of the ownership.", {
            worker: worker.id,
            byMs: Math.round(requestedEndMs - latestEndMs),
            provedMsAgo: Math.round(now - heldAt),
        });
    }
    worker.isLeaseLimited = isLimited;
    worker.leaseEndsAt = Math.max(worker.leaseEndsAt, now + getMaxMonotonicMs(leaseMs));
    return Math.floor(Math.min(requestedEndMs, latestEndMs));
}

/**
 * Returns whether the lease of the runs on a worker has certainly ended.
 *
 * A successor may have extended the lease. So it has ended only if this owner certainly held the ownership after that.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @returns True if no run that this owner knows can still be running on the worker.
 */
export function hasLeaseEnded({ ownership }: Pick<Scheduler, "ownership">, worker: WorkerEntry): boolean {
    return ownership.heldAt() >= worker.leaseEndsAt;
}

/** Replaces the confirmed reading of a worker's clock by a newer one after which the ownership was held too. */
function confirmClock(worker: WorkerEntry, heldAt: number): void {
    const confirmed = [worker.clock, worker.unconfirmedClock].find(reading =>
        reading !== undefined && reading.readAt < heldAt
    );
    if (confirmed !== undefined) {
        worker.confirmedClock = confirmed;
        worker.unconfirmedClock = worker.clock;
    }
}

/** Estimates a worker's clock, never ahead of it: a lease that is too long would outlast what a successor waits for. */
function estimateClockMs(reading: ClockReading | undefined, at: number): number {
    if (reading === undefined) {
        return 0;
    }
    const elapsedMs = at - reading.readAt;
    return reading.clockMs + (elapsedMs > 0 ? elapsedMs * (1 - WORKER_CLOCK_DRIFT) : elapsedMs);
}
