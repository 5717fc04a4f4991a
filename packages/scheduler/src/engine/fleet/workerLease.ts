import { OWNER_LEASE_TTL_MS } from "../../constants.js";
import type { Run } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { getMaxLeaseMs, getMaxMonotonicMs } from "./leaseDurations.js";
import { confirmClock, estimateClockMs } from "./workerClock.js";

/**
 * Extends the lease of the runs on a worker.
 *
 * A successor waits for the leases of this owner, counted from its own takeover. An owner that does not know that it
 * was replaced, for instance since it was suspended, must not extend a lease beyond that. Its own clock cannot tell, as
 * it may have stood still. So the end is limited by a reading of the worker's clock that is older than the last
 * proof of the ownership, and therefore than any takeover.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which has answered; the latest possible ends of its lease are recorded on it.
 * @returns The end of the lease on the clock of the worker's known incarnation, in whole milliseconds.
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
    recordLongestLease({ clock, bounds }, worker);
    return Math.floor(Math.min(requestedEndMs, latestEndMs));
}

/**
 * Records that an order may have reached an incarnation of the worker that is not known yet. The end of the lease in
 * the order is on the clock of the known one, so any other grants the longest lease.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 */
export function recordLongestLease(
    { clock, bounds }: Pick<Scheduler, "clock" | "bounds">,
    worker: WorkerEntry,
): void {
    worker.longestLeaseEndsAt = Math.max(
        worker.longestLeaseEndsAt,
        clock() + getMaxMonotonicMs(bounds.maxHoldMs),
    );
}

/**
 * Returns whether the lease of the runs on a worker's known incarnation has certainly ended.
 *
 * A successor may have extended the lease. So it has ended only if this owner certainly held the ownership after that.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @returns True if none of these runs can still be running.
 */
export function hasLeaseEnded({ ownership }: Pick<Scheduler, "ownership">, worker: WorkerEntry): boolean {
    return ownership.heldAt() >= worker.leaseEndsAt;
}

/**
 * Returns whether the lease of a run has certainly ended.
 *
 * Until an answer shows that the known incarnation of the worker has the run, the start may have reached a later one.
 *
 * @param scheduler - The scheduler.
 * @param run - The run.
 * @returns True if the run can no longer be running; see `hasLeaseEnded`.
 */
export function hasRunLeaseEnded({ ownership }: Pick<Scheduler, "ownership">, run: Run): boolean {
    const { worker } = run;
    return hasLeaseEnded({ ownership }, worker)
        && (isOnKnownIncarnation(run) || ownership.heldAt() >= worker.longestLeaseEndsAt);
}

function isOnKnownIncarnation({ worker, incarnationBornMs }: Run): boolean {
    return worker.bornMs !== 0 && incarnationBornMs === worker.bornMs;
}
