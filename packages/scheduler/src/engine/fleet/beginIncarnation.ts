import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { createEndNumbers } from "../../state/WorkerEntry.js";
import { repeatStop } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";
import { getMaxMonotonicMs } from "./leaseDurations.js";

/**
 * Turns the entry of a worker that has restarted under its id into that of the new incarnation.
 *
 * The runs are kept: an order may have reached the new incarnation before its start was known, so that only its own
 * lists show which of them have ended.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, whose entry describes an earlier incarnation.
 * @param bornMs - Wall time at which the new incarnation started, in milliseconds since 1970.
 */
export function beginIncarnation(scheduler: Scheduler, worker: WorkerEntry, bornMs: number): void {
    scheduler.log.info("A worker has restarted.", {
        worker: worker.id,
        previousBornMs: worker.bornMs,
        bornMs,
        runs: worker.runs.size,
    });
    worker.bornMs = bornMs;
    worker.hasAnswered = false;
    worker.ends = createEndNumbers();
    worker.clock = undefined;
    worker.unconfirmedClock = undefined;
    worker.confirmedClock = undefined;
    // Lease ends in orders were on the clock of the earlier incarnation; the new one limits them to the longest lease.
    const latestLeaseEnd = scheduler.clock() + getMaxMonotonicMs(scheduler.bounds.maxHoldMs);
    worker.leaseEndsAt = Math.max(worker.leaseEndsAt, latestLeaseEnd);
    // An answered stop binds only the incarnation that has answered it.
    worker.runs.forEach(run => repeatStop(scheduler, run));
}
