import {
    CLOCK_REFRESH_INTERVAL_MS,
    HOLD_DURABILITY_PAUSE_MS,
    HOLD_RETRY_MS,
    MAX_HOLD_WAIT_MS,
    MAX_PASS_INTERVAL_MS,
} from "../constants.js";
import type { HoldOutcome } from "../ports/WorkerPort.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { applyHoldAnswer, releaseLostRun } from "./applyHoldAnswer.js";
import { loadUnknownJobs } from "./loadUnknownJobs.js";
import type { Scheduler } from "./Scheduler.js";
import { extendLease, hasLeaseEnded } from "./workerClock.js";

/**
 * Keeps a worker in sync while it is in the fleet: renews its lease, applies the run ends that it reports, and
 * acknowledges those that are stored. Sends no holds to a worker that is responsive, has no runs and has no ends
 * left to acknowledge, except to read its clock again after `CLOCK_REFRESH_INTERVAL_MS`.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 */
export async function syncWorker(scheduler: Scheduler, worker: WorkerEntry): Promise<void> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted && scheduler.fleet.get(worker.id) === worker) {
        if (isIdle(scheduler, worker)) {
            await worker.wakeSignal.wait(MAX_PASS_INTERVAL_MS, signal);
            continue;
        }
        if (worker.lastAppliedEnd > worker.lastDurableEnd) {
            await worker.wakeSignal.wait(HOLD_DURABILITY_PAUSE_MS, signal);
        }
        await sendHold(scheduler, worker, signal);
    }
}

function isIdle(scheduler: Scheduler, worker: WorkerEntry): boolean {
    return worker.hasAnswered && !worker.isUnresponsive && worker.runs.size === 0
        && worker.lastAcknowledgedEnd === worker.lastAppliedEnd
        && scheduler.clock() - worker.lastAnswerAt < CLOCK_REFRESH_INTERVAL_MS;
}

async function sendHold(scheduler: Scheduler, worker: WorkerEntry, signal: AbortSignal): Promise<void> {
    const sentAt = scheduler.clock();
    const acknowledgedEnd = worker.lastDurableEnd;
    const order = {
        fence: scheduler.ownership.revision,
        lastDurableEnd: acknowledgedEnd,
        leaseUntilMs: mayExtendLease(worker) ? extendLease(scheduler, worker) : undefined,
        waitMs: mayExtendLease(worker) && worker.runs.size > 0 && worker.lastAppliedEnd === acknowledgedEnd
            ? MAX_HOLD_WAIT_MS
            : 0,
    };
    const outcome = await scheduler.workers.hold(worker, order, signal);
    if (outcome.kind === "held" && !await loadUnknownJobs(scheduler, outcome.answer)) {
        await scheduler.pause(HOLD_RETRY_MS, signal);
        return;
    }
    if (signal.aborted || scheduler.fleet.get(worker.id) !== worker) {
        return;
    }
    await handleHoldOutcome(scheduler, worker, outcome, { sentAt, acknowledgedEnd });
}

/**
 * Returns whether a hold may extend the worker's lease. The first hold only reads the worker's clock. The lease of
 * an unresponsive worker is not extended either: an unanswered hold may still take effect, and the end of the lease
 * must show when the worker's runs have ended.
 */
function mayExtendLease(worker: WorkerEntry): boolean {
    return worker.hasAnswered && !worker.isUnresponsive;
}

async function handleHoldOutcome(
    scheduler: Scheduler,
    worker: WorkerEntry,
    outcome: HoldOutcome,
    sent: { readonly sentAt: number; readonly acknowledgedEnd: number },
): Promise<void> {
    switch (outcome.kind) {
        case "held":
            if (
                worker.bornMs !== 0 && outcome.answer.bornMs !== 0
                && worker.bornMs !== outcome.answer.bornMs
            ) {
                removeWorker(scheduler, worker, "reborn");
                return;
            }
            worker.isUnresponsive = false;
            worker.lastAcknowledgedEnd = Math.max(worker.lastAcknowledgedEnd, sent.acknowledgedEnd);
            applyHoldAnswer(scheduler, worker, outcome.answer, sent.sentAt);
            markAnswered(scheduler, worker);
            return;
        case "fenced":
            scheduler.ownership.resign("A worker knows a newer owner.");
            return;
        case "other-life":
            removeWorker(scheduler, worker, "other-life");
            return;
        case "unhealthy":
        case "old-run":
        case "late":
        case "no-room":
        case "bad-ticket":
        case "invalid":
        case "unreachable":
        case "unclear":
            scheduler.metrics.orderFaults.inc({ order: "hold", reason: outcome.kind });
            scheduler.log.debug("A hold call to a worker fails.", {
                worker: worker.id,
                reason: outcome.kind,
            });
            worker.isUnresponsive = true;
            expireRuns(scheduler, worker);
            await scheduler.pause(HOLD_RETRY_MS, scheduler.ownership.signal);
    }
}

function markAnswered(scheduler: Scheduler, worker: WorkerEntry): void {
    if (worker.hasAnswered) {
        return;
    }
    worker.hasAnswered = true;
    scheduler.unreconciledWorkers.delete(worker.id);
    scheduler.log.info("A worker answers its first hold.", { worker: worker.id, runs: worker.runs.size });
    scheduler.requestPass();
}

/** Releases the runs of an unresponsive worker whose lease has ended, since the worker ends them with the lease. */
function expireRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    if (!hasLeaseEnded(scheduler, worker)) {
        return;
    }
    for (const run of [...worker.runs]) {
        releaseLostRun(scheduler, run, "lease-ended");
    }
}

/**
 * Removes an incarnation of a worker from the fleet and releases its runs.
 *
 * @param scheduler - The scheduler.
 * @param worker - The incarnation, which has ended together with its runs.
 * @param reason - How the end is known, for the log.
 */
export function removeWorker(scheduler: Scheduler, worker: WorkerEntry, reason: string): void {
    scheduler.log.info("A worker is removed from the fleet.", {
        worker: worker.id,
        runs: worker.runs.size,
        reason,
    });
    scheduler.fleet.delete(worker.id);
    scheduler.unreconciledWorkers.delete(worker.id);
    for (const run of [...worker.runs]) {
        releaseLostRun(scheduler, run, reason);
    }
    scheduler.workers.closeConnections(worker.address);
    worker.wakeSignal.notify();
}
