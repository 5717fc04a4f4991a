import {
    HOLD_DURABILITY_PAUSE_MS,
    HOLD_RETRY_MS,
    MAX_HOLD_WAIT_MS,
    MAX_PASS_INTERVAL_MS,
} from "../constants.js";
import type { HoldOutcome } from "../ports/WorkerPort.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { applyHold, loseRun } from "./applyHold.js";
import type { Scheduler } from "./Scheduler.js";
import { extendLease } from "./workerClock.js";

/**
 * Keeps in touch with one worker while it is known: renews its lease, takes in ends, and tells it
 * which ends are durable. A worker that answers and runs nothing is left alone.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 */
export async function runWorker(scheduler: Scheduler, worker: WorkerEntry): Promise<void> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted && scheduler.fleet.get(worker.id) === worker) {
        if (isIdle(worker)) {
            await worker.wakeSignal.wait(MAX_PASS_INTERVAL_MS, signal);
            continue;
        }
        if (worker.lastAppliedEnd > worker.lastDurableEnd) {
            await worker.wakeSignal.wait(HOLD_DURABILITY_PAUSE_MS, signal);
        }
        await holdOnce(scheduler, worker, signal);
    }
}

function isIdle(worker: WorkerEntry): boolean {
    return worker.hasAnswered && !worker.isUnresponsive && worker.runs.size === 0
        && worker.lastForgottenEnd === worker.lastAppliedEnd;
}

async function holdOnce(scheduler: Scheduler, worker: WorkerEntry, signal: AbortSignal): Promise<void> {
    const sentAt = scheduler.clock();
    const endsKept = worker.lastDurableEnd;
    const order = {
        fence: scheduler.ownership.revision,
        lastDurableEnd: endsKept,
        leaseUntilMs: mayExtend(worker) ? extendLease(worker, sentAt, scheduler.bounds.maxHoldMs) : undefined,
        waitMs: mayExtend(worker) && worker.runs.size > 0 && worker.lastAppliedEnd === endsKept
            ? MAX_HOLD_WAIT_MS
            : 0,
    };
    const outcome = await scheduler.workers.hold(worker, order, signal);
    if (signal.aborted || scheduler.fleet.get(worker.id) !== worker) {
        return;
    }
    await takeOutcome(scheduler, worker, outcome, { sentAt, endsKept });
}

/**
 * The first call reads the worker's clock. A worker that does not answer is only asked, since a call
 * without an answer may extend the lease, and the lease's end tells when its runs have ended.
 */
function mayExtend(worker: WorkerEntry): boolean {
    return worker.hasAnswered && !worker.isUnresponsive;
}

async function takeOutcome(
    scheduler: Scheduler,
    worker: WorkerEntry,
    outcome: HoldOutcome,
    sent: { readonly sentAt: number; readonly endsKept: number },
): Promise<void> {
    switch (outcome.kind) {
        case "held":
            if (
                worker.bornMs !== 0 && outcome.answer.bornMs !== 0
                && worker.bornMs !== outcome.answer.bornMs
            ) {
                dropWorker(scheduler, worker, "reborn");
                return;
            }
            worker.isUnresponsive = false;
            worker.lastForgottenEnd = Math.max(worker.lastForgottenEnd, sent.endsKept);
            applyHold(scheduler, worker, outcome.answer, sent.sentAt);
            noteReached(scheduler, worker);
            return;
        case "fenced":
            scheduler.ownership.resign("A worker knows a newer owner.");
            return;
        case "other-life":
            dropWorker(scheduler, worker, "other-life");
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
            scheduler.log.debug("A worker does not answer.", { worker: worker.id, reason: outcome.kind });
            worker.isUnresponsive = true;
            expireRuns(scheduler, worker);
            await scheduler.pause(HOLD_RETRY_MS, scheduler.ownership.signal);
    }
}

function noteReached(scheduler: Scheduler, worker: WorkerEntry): void {
    if (worker.hasAnswered) {
        return;
    }
    worker.hasAnswered = true;
    scheduler.unreconciled.delete(worker.id);
    scheduler.log.info("A worker is reached.", { worker: worker.id, runs: worker.runs.size });
    scheduler.wake();
}

/** A worker that stays silent ends everything when its lease does. */
function expireRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    if (scheduler.clock() < worker.leaseEndsAt) {
        return;
    }
    for (const run of [...worker.runs]) {
        loseRun(scheduler, run, "lease-ended");
    }
}

/**
 * Forgets a life of a worker.
 *
 * @param scheduler - The scheduler.
 * @param worker - The life; its runs have ended with it.
 * @param reason - How that is known.
 */
export function dropWorker(scheduler: Scheduler, worker: WorkerEntry, reason: string): void {
    scheduler.log.info("A worker is gone.", { worker: worker.id, runs: worker.runs.size, reason });
    scheduler.fleet.delete(worker.id);
    scheduler.unreconciled.delete(worker.id);
    for (const run of [...worker.runs]) {
        loseRun(scheduler, run, reason);
    }
    scheduler.workers.closeConnections(worker.address);
    worker.wakeSignal.notify();
}
