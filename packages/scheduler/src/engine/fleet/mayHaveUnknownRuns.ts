import type { WorkerId } from "../../ids.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Returns whether a worker may have runs of earlier terms, or their ends, that this owner does not know.
 *
 * @param scheduler - The scheduler.
 * @param id - The worker.
 * @returns True for a worker of earlier terms until it has listed all its runs, or until its lease has ended; this
 * owner extends the lease of a worker that has answered without listing all its ends. The ownership must have been held
 * after the end, since a successor may have extended the lease.
 */
export function mayHaveUnknownRuns(scheduler: Scheduler, id: WorkerId): boolean {
    const unknownRunsEndAt = scheduler.unreconciledWorkers.get(id);
    const leaseEndsAt = scheduler.fleet.get(id)?.leaseEndsAt ?? Number.NEGATIVE_INFINITY;
    return unknownRunsEndAt !== undefined
        && scheduler.ownership.heldAt() < Math.max(unknownRunsEndAt, leaseEndsAt);
}
