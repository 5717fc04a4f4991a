import {
    CLOCK_REFRESH_INTERVAL_MS,
    HOLD_DURABILITY_PAUSE_MS,
    HOLD_RETRY_MS,
    MAX_HOLD_WAIT_MS,
} from "../../constants.js";
import type { HoldAnswer, HoldOutcome } from "../../ports/WorkerPort.js";
import type { EndNumbers, WorkerEntry } from "../../state/WorkerEntry.js";
import { countCrash } from "../crashes/countCrash.js";
import { countLostRuns, countLostRunsOfPredecessor, excludeNewRuns } from "../crashes/countLostRuns.js";
import { captureRuns } from "../crashes/LostRuns.js";
import { rememberLostRuns } from "../crashes/rememberLostRuns.js";
import { releaseLostRun } from "../runs/releaseLostRun.js";
import type { Scheduler } from "../Scheduler.js";
import { loadUnknownJobs } from "../takeover/loadUnknownJobs.js";
import { applyHoldAnswer } from "./applyHoldAnswer.js";
import { beginIncarnation } from "./beginIncarnation.js";
import { isOtherIncarnation } from "./isOtherIncarnation.js";
import { removeReplacedWorker } from "./removeReplacedWorker.js";
import { extendLease, hasRunLeaseEnded } from "./workerLease.js";

/**
 * Maximum time for which an idle worker's task waits, in milliseconds. The task is woken by whatever ends the idleness,
 * except for the age of the worker's clock.
 */
const MAX_IDLE_WAIT_MS = 5_000;

/** Priority of the holds to workers that have not failed to answer; those to silent workers have 0. */
const FIRST_PROBE_PRIORITY = 1;

/**
 * Keeps a worker in sync while it is in the fleet: renews its lease, applies the run ends that it reports, and
 * acknowledges those that are stored. Sends no holds to a worker that is responsive, has no runs and has no ends
 * left to acknowledge, except to read its clock again after `CLOCK_REFRESH_INTERVAL_MS`.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 */
export async function syncWorker(scheduler: Scheduler, worker: WorkerEntry): Promise<void> {
    // Waits add and remove listeners, which takes time in proportion to the listeners that a signal has.
    const controller = new AbortController();
    const abort = (): void => controller.abort(scheduler.ownership.signal.reason);
    scheduler.ownership.signal.addEventListener("abort", abort, { once: true });
    try {
        await sendHolds(scheduler, worker, controller.signal);
    }
    finally {
        scheduler.ownership.signal.removeEventListener("abort", abort);
    }
}

async function sendHolds(scheduler: Scheduler, worker: WorkerEntry, signal: AbortSignal): Promise<void> {
    while (!scheduler.ownership.signal.aborted && scheduler.fleet.get(worker.id) === worker) {
        if (isIncarnationKnown(worker) && scheduler.rosterBounds.has(worker.id)) {
            // The next owner would not wait for a lease that is extended now.
            await worker.wakeSignal.wait(HOLD_RETRY_MS, signal);
            continue;
        }
        if (isIdle(scheduler, worker)) {
            await worker.wakeSignal.wait(MAX_IDLE_WAIT_MS, signal);
            continue;
        }
        if (worker.ends.lastApplied > worker.ends.lastDurable) {
            await worker.wakeSignal.wait(HOLD_DURABILITY_PAUSE_MS, signal);
        }
        await sendHold(scheduler, worker, signal);
    }
}

function isIdle(scheduler: Scheduler, worker: WorkerEntry): boolean {
    return worker.hasAnswered && !worker.isUnresponsive && worker.runs.size === 0
        && worker.ends.lastAcknowledged === worker.ends.lastApplied
        && scheduler.clock() - worker.lastAnswerAt < CLOCK_REFRESH_INTERVAL_MS;
}

async function sendHold(scheduler: Scheduler, worker: WorkerEntry, signal: AbortSignal): Promise<void> {
    const sentAt = scheduler.clock();
    const { ends } = worker;
    const isKnown = isIncarnationKnown(worker);
    // An acknowledgement is not repeated: a worker that has restarted since would discard ends that nobody has read.
    const acknowledgedEnd = isKnown && ends.lastDurable > ends.lastAcknowledged ? ends.lastDurable : 0;
    const order = {
        fence: scheduler.ownership.revision,
        lastDurableEnd: acknowledgedEnd,
        leaseUntilMs: isKnown ? extendLease(scheduler, worker) : undefined,
        waitMs: isKnown && worker.runs.size > 0 && ends.lastApplied === ends.lastDurable
            ? MAX_HOLD_WAIT_MS
            : 0,
    };
    const sendCall = (): Promise<HoldOutcome> => scheduler.workers.hold(worker, order, signal);
    const priority = worker.isUnresponsive ? 0 : FIRST_PROBE_PRIORITY;
    const outcome = isKnown ? await sendCall() : await scheduler.probes.add(sendCall, { priority });
    if (outcome.kind === "held" && !await loadUnknownJobs(scheduler, outcome.answer)) {
        await scheduler.pause(HOLD_RETRY_MS, signal);
        return;
    }
    if (signal.aborted || scheduler.fleet.get(worker.id) !== worker) {
        return;
    }
    await handleHoldOutcome(scheduler, worker, outcome, { sentAt, ends, acknowledgedEnd });
}

/**
 * Returns whether the worker's incarnation is known: it has answered the last hold.
 *
 * Any other hold only reads. The worker may have restarted, and then has another clock and numbers its ends anew. An
 * unanswered hold may also still take effect, and the end of the lease must show when the worker's runs have ended.
 */
function isIncarnationKnown(worker: WorkerEntry): boolean {
    return worker.hasAnswered && !worker.isUnresponsive;
}

/** What a hold was sent with. */
type SentHold = {
    readonly sentAt: number;
    /** Numbers of the incarnation that the hold was meant for. */
    readonly ends: EndNumbers;
    readonly acknowledgedEnd: number;
};

async function handleHoldOutcome(
    scheduler: Scheduler,
    worker: WorkerEntry,
    outcome: HoldOutcome,
    sent: SentHold,
): Promise<void> {
    switch (outcome.kind) {
        case "held":
            countCrashOfWorker(scheduler, worker, outcome.answer, sent.sentAt);
            updateIncarnation(scheduler, worker, outcome.answer.bornMs);
            worker.isUnresponsive = false;
            worker.silentSince = undefined;
            sent.ends.lastAcknowledged = Math.max(sent.ends.lastAcknowledged, sent.acknowledgedEnd);
            applyHoldAnswer(scheduler, worker, outcome.answer, sent.sentAt);
            countLostRuns(scheduler, worker);
            markAnswered(scheduler, worker, outcome.answer.listsAllEnds);
            return;
        case "fenced":
            scheduler.ownership.resign("A worker knows a newer owner.");
            return;
        case "other-life":
            removeReplacedWorker(scheduler, worker);
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
            worker.silentSince ??= scheduler.clock();
            expireRuns(scheduler, worker);
            await scheduler.pause(HOLD_RETRY_MS, scheduler.ownership.signal);
    }
}

/** Counts the crash of the incarnation that the entry describes if a new one has answered. */
function countCrashOfWorker(
    scheduler: Scheduler,
    worker: WorkerEntry,
    answer: HoldAnswer,
    sentAt: number,
): void {
    if (isOtherIncarnation(worker, answer.bornMs)) {
        countCrash(
            scheduler,
            excludeNewRuns(captureRuns(worker, worker.runs, scheduler.clock()), answer, sentAt),
        );
    }
}

function updateIncarnation(scheduler: Scheduler, worker: WorkerEntry, bornMs: number): void {
    if (isOtherIncarnation(worker, bornMs)) {
        beginIncarnation(scheduler, worker, bornMs);
    }
    else if (bornMs !== 0) {
        worker.bornMs = bornMs;
    }
}

/** Marks a worker as answered, and as reconciled once all ends of its runs are applied. */
function markAnswered(scheduler: Scheduler, worker: WorkerEntry, listsAllEnds: boolean): void {
    worker.leaseEndsAt = Math.max(
        worker.leaseEndsAt,
        scheduler.unreconciledWorkers.get(worker.id) ?? Number.NEGATIVE_INFINITY,
    );
    if (listsAllEnds && scheduler.unreconciledWorkers.delete(worker.id)) {
        scheduler.requestPass();
    }
    if (worker.hasAnswered) {
        return;
    }
    worker.hasAnswered = true;
    scheduler.log.info("A worker answers its first hold.", {
        worker: worker.id,
        bornMs: worker.bornMs,
        runs: worker.runs.size,
    });
    scheduler.requestPass();
}

/** Releases the runs of an unresponsive worker whose lease has ended, since the worker ends them with the lease. */
function expireRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    const expiredRuns = [...worker.runs].filter(run => hasRunLeaseEnded(scheduler, run));
    if (expiredRuns.length === 0) {
        return;
    }
    rememberLostRuns(scheduler, worker, expiredRuns);
    for (const run of expiredRuns) {
        releaseLostRun(scheduler, run, "lease-ended");
    }
    countLostRunsOfPredecessor(scheduler, worker);
}
