import { MAX_START_SENDS, WORKER_LIST_INTERVAL_MS } from "../../constants.js";
import { isAnswer } from "../../ports/isAnswer.js";
import type { OrderOutcome, Refusal } from "../../ports/WorkerPort.js";
import type { Run } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { storeSuspectedRun } from "../crashes/suspectedRuns.js";
import { isSuspected } from "../crashes/suspicion.js";
import type { SentOrder } from "../fleet/applyOrderAnswer.js";
import { applyOrderAnswer, describeSentOrder } from "../fleet/applyOrderAnswer.js";
import { pauseWorker } from "../fleet/pauseWorker.js";
import { removeReplacedWorker } from "../fleet/removeReplacedWorker.js";
import { extendLease, recordLongestLease } from "../fleet/workerLease.js";
import type { Scheduler } from "../Scheduler.js";
import { confirmRun } from "./confirmRun.js";
import type { UnsentReason } from "./findUnsentReason.js";
import { findUnsentReason } from "./findUnsentReason.js";
import { releaseRun } from "./runs.js";
import { stopGang, stopRun } from "./stopRun.js";

/**
 * Orders the start of a run and sends the order again while no answer arrives, unless holds fail too or the data centre
 * is evacuated meanwhile. If the outcome stays unclear, the run is stopped, so that the worker refuses a late start;
 * until the worker reports otherwise, the run counts as running.
 *
 * @param scheduler - The scheduler.
 * @param run - The run, whose start has not been ordered.
 * @param ticket - Ticket of the advice service; empty if none is needed.
 */
export async function startRun(scheduler: Scheduler, run: Run, ticket: string): Promise<void> {
    const { worker } = run;
    let mayHaveStarted = false;
    if (isSuspected(run.task)) {
        await storeSuspectedRun(scheduler, run);
        if (!mayStillStart(scheduler, run)) {
            return;
        }
    }
    for (let send = 0; send < MAX_START_SENDS && mayStillStart(scheduler, run); send++) {
        const outcome = await sendStart(scheduler, run, ticket);
        if (outcome === undefined) {
            return;
        }
        if (outcome === "silent" || outcome === "unconfirmed") {
            break;
        }
        if (outcome === "no-capacity") {
            logLostCapacity(scheduler, run);
            abandonRun(scheduler, run, mayHaveStarted);
            return;
        }
        if (outcome === "evacuated") {
            logEvacuatedStart(scheduler, run);
            abandonRun(scheduler, run, mayHaveStarted);
            return;
        }
        logStart(scheduler, run, send, outcome);
        if (outcome.kind === "done") {
            confirmRun(run, scheduler.clock());
            return;
        }
        if (outcome.kind === "fenced") {
            scheduler.ownership.resign("A worker knows a newer owner.");
            return;
        }
        scheduler.metrics.orderFaults.inc({ order: "start", reason: outcome.kind });
        if (outcome.kind !== "unclear") {
            handleRefusal(scheduler, run, outcome);
            abandonRun(scheduler, run, mayHaveStarted);
            return;
        }
        mayHaveStarted = true;
    }
    if (!run.isConfirmed) {
        pauseWorker(scheduler, worker);
        stopRun(scheduler, run, "unclear-start");
        stopGangOfRun(scheduler, run);
    }
}

/**
 * Sends an order to start a run; returns `undefined` if the run was stopped or released before its turn came, or is
 * released now because an order must wait and its worker has got none.
 */
async function sendStart(
    scheduler: Scheduler,
    run: Run,
    ticket: string,
): Promise<OrderOutcome | UnsentReason | undefined> {
    const { worker, task } = run;
    let outcome: OrderOutcome | UnsentReason | undefined;
    await scheduler.orders.add("start", worker, async () => {
        if (!mayStillStart(scheduler, run)) {
            return undefined;
        }
        const reason = findUnsentReason(scheduler, run);
        if (reason !== undefined) {
            if (reason === "no-capacity" || run.isOrderSent) {
                outcome = reason;
            }
            else {
                withdrawRun(scheduler, run, reason);
            }
            return undefined;
        }
        run.isOrderSent = true;
        const sent = describeSentOrder(scheduler, worker);
        const started = await scheduler.workers.start(worker, {
            task: task.name,
            run: run.number,
            spec: task.step.job.job.spec,
            leaseUntilMs: extendLease(scheduler, worker),
            fence: scheduler.ownership.revision,
            checkpoint: task.checkpoint,
            ticket,
        });
        settleStart(scheduler, run, sent, started);
        outcome = started;
        return isAnswer(started);
    });
    return outcome;
}

/**
 * Records which incarnation has got a start, once the call has ended. Without a proof that is unknown, also if one has
 * listed the run meanwhile: an earlier order may have started it there. If another incarnation has become known, the
 * order may have extended the lease of the runs on it.
 */
function settleStart(scheduler: Scheduler, run: Run, sent: SentOrder, outcome: OrderOutcome): void {
    const { worker } = run;
    run.incarnationBornMs = undefined;
    recordLongestLease(scheduler, worker);
    if (sent.bornMs !== worker.bornMs) {
        worker.leaseEndsAt = Math.max(worker.leaseEndsAt, worker.longestLeaseEndsAt);
    }
    if ("clockMs" in outcome && applyOrderAnswer(scheduler, worker, outcome.clockMs, sent) === "known") {
        run.incarnationBornMs = sent.bornMs;
    }
}

/** Releases a run whose start has not been sent. */
function withdrawRun(scheduler: Scheduler, run: Run, reason: UnsentReason): void {
    scheduler.log.info("A start is withdrawn.", {
        ...run.task.name,
        reason,
        run: run.number,
        worker: run.worker.id,
        sincePlacedMs: Math.round(scheduler.clock() - run.orderedAt),
        sinceAnsweredMs: Math.round(scheduler.clock() - run.worker.lastAnswerAt),
    });
    abandonRun(scheduler, run, false);
}

/** Returns whether a run is still to be started: not confirmed, stopped or released, in a term that goes on. */
function mayStillStart({ ownership }: Scheduler, run: Run): boolean {
    return run.phase === "starting" && run.worker.runs.has(run) && !ownership.signal.aborted;
}

/** Starts nothing on a worker that has less room than it is listed with before the next list may show what it has. */
function awaitNextList(scheduler: Scheduler, worker: WorkerEntry): void {
    worker.pausedUntil = Math.max(worker.pausedUntil, scheduler.clock() + WORKER_LIST_INTERVAL_MS);
}

/** Reacts to a refused start; only refusals that indicate a fault of the worker pause it. */
function handleRefusal(scheduler: Scheduler, run: Run, refusal: Refusal): void {
    switch (refusal.kind) {
        case "unhealthy":
        case "unreachable":
        case "invalid":
            pauseWorker(scheduler, run.worker);
            return;
        case "no-room":
            awaitNextList(scheduler, run.worker);
            return;
        case "bad-ticket":
            run.task.step.advice?.tickets.delete(run.worker.id);
            return;
        case "other-life":
            removeReplacedWorker(scheduler, run.worker);
            return;
        case "late":
        case "old-run":
        case "fenced":
    }
}

function abandonRun(scheduler: Scheduler, run: Run, mayHaveStarted: boolean): void {
    if (mayHaveStarted) {
        stopRun(scheduler, run, "unclear-start");
    }
    else {
        releaseRun(run);
    }
    stopGangOfRun(scheduler, run);
    scheduler.requestPass();
}

function logLostCapacity(scheduler: Scheduler, { task, number, worker }: Run): void {
    scheduler.log.info("A start is withdrawn, since the capacity of its worker has shrunk.", {
        ...task.name,
        run: number,
        worker: worker.id,
        freeAccelerators: worker.free.accelerators,
        freeCpuMillis: worker.free.cpuMillis,
        freeMemoryMb: worker.free.memoryMb,
    });
}

function logEvacuatedStart(scheduler: Scheduler, { task, number, worker }: Run): void {
    scheduler.log.info("A start is not sent again, since the data centre of its worker is evacuated.", {
        ...task.name,
        run: number,
        worker: worker.id,
        dataCentre: worker.dataCentre,
    });
}

function stopGangOfRun(scheduler: Scheduler, run: Run): void {
    if (run.task.step.spec.gang) {
        stopGang(scheduler, run.task.step, run.number);
    }
}

function logStart(scheduler: Scheduler, run: Run, send: number, outcome: OrderOutcome): void {
    scheduler.metrics.starts.inc({ outcome: outcome.kind });
    scheduler.log.info("A start is ordered.", {
        ...run.task.name,
        run: run.number,
        worker: run.worker.id,
        send,
        outcome: outcome.kind,
        ...("cause" in outcome ? { cause: outcome.cause } : {}),
    });
}
