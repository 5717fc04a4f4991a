import { GANG_END_TIMEOUT_MS, STOP_RETRY_MS } from "../../constants.js";
import { isAnswer } from "../../ports/isAnswer.js";
import type { OrderOutcome, StopOrder } from "../../ports/WorkerPort.js";
import type { Run, StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { applyOrderAnswer, describeSentOrder } from "../fleet/applyOrderAnswer.js";
import type { Scheduler } from "../Scheduler.js";
import { releaseRun } from "./runs.js";

/** Why a run is stopped. */
export type StopReason =
    | "job-ended"
    | "unclear-start"
    | "gang-broken"
    | "preempted"
    | "unknown-run"
    | "stalled"
    | "worker-leaves"
    | "upkeep"
    | "copy-done";

/**
 * Stops a run, and repeats the order until the worker answers; sends none while holds show that it answers nothing.
 *
 * A run whose start was never sent is released at once. Once the stop is answered, the worker refuses any later start
 * with this run number. The run is released when the worker reports its end, or when the answer to a later hold does
 * not list it.
 *
 * @param scheduler - The scheduler.
 * @param run - The run; one that is already being stopped is ignored.
 * @param reason - Why the run is stopped.
 */
export function stopRun(scheduler: Scheduler, run: Run, reason: StopReason): void {
    if (run.phase === "stopping") {
        return;
    }
    run.phase = "stopping";
    recordStop(scheduler, run, reason);
    if (run.isOrderSent) {
        scheduler.spawn(() => sendStop(scheduler, run));
    }
    else {
        releaseRun(run);
        scheduler.requestPass();
    }
}

/**
 * Waits for the end of a run that its worker ends by itself, since another member of its gang has ended. The run is
 * stopped if its worker does not report the end in time.
 *
 * @param scheduler - The scheduler.
 * @param run - The run; one that is already being stopped is ignored.
 * @param reason - Why the run would be stopped.
 */
export function awaitGangEnd(scheduler: Scheduler, run: Run, reason: StopReason): void {
    if (run.phase !== "running") {
        stopRun(scheduler, run, reason);
        return;
    }
    run.phase = "stopping";
    scheduler.spawn(async () => {
        await scheduler.pause(GANG_END_TIMEOUT_MS, scheduler.ownership.signal);
        if (run.worker.runs.has(run)) {
            recordStop(scheduler, run, reason);
            await sendStop(scheduler, run);
        }
    });
}

function recordStop(scheduler: Scheduler, run: Run, reason: StopReason): void {
    scheduler.metrics.stops.inc({ reason });
    scheduler.log.info("A run is stopped.", {
        ...run.task.name,
        run: run.number,
        worker: run.worker.id,
        reason,
        percent: run.percent,
    });
}

/**
 * Sends the order to stop a run once more if it has been answered; a run that is not being stopped is ignored.
 *
 * @param scheduler - The scheduler.
 * @param run - The run.
 */
export function repeatStop(scheduler: Scheduler, run: Run): void {
    if (run.stopAnsweredAt !== undefined) {
        run.stopAnsweredAt = undefined;
        scheduler.spawn(() => sendStop(scheduler, run));
    }
}

async function sendStop(scheduler: Scheduler, run: Run): Promise<void> {
    const { worker } = run;
    const order = { task: run.task.name, run: run.number, fence: scheduler.ownership.revision };
    while (worker.runs.has(run) && !scheduler.ownership.signal.aborted) {
        const outcome = await sendOrder(scheduler, worker, order);
        switch (outcome?.kind) {
            case undefined:
                // The next hold that is answered shows that the worker can be reached again.
                await scheduler.pause(STOP_RETRY_MS, scheduler.ownership.signal);
                break;
            case "done":
                run.stopAnsweredAt = scheduler.clock();
                return;
            case "fenced":
                scheduler.ownership.resign("A worker knows a newer owner.");
                return;
            case "other-life":
                releaseRun(run);
                scheduler.requestPass();
                return;
            case "old-run":
                run.stopAnsweredAt = scheduler.clock();
                return;
            case "unhealthy":
            case "late":
            case "no-room":
            case "bad-ticket":
            case "invalid":
            case "unreachable":
            case "unclear":
                scheduler.metrics.orderFaults.inc({ order: "stop", reason: outcome.kind });
                await scheduler.pause(STOP_RETRY_MS, scheduler.ownership.signal);
        }
    }
}

/** Sends an order to stop a run; returns `undefined` if holds show, when its turn comes, that the worker is silent. */
async function sendOrder(
    scheduler: Scheduler,
    worker: WorkerEntry,
    order: StopOrder,
): Promise<OrderOutcome | undefined> {
    let outcome: OrderOutcome | undefined;
    if (worker.isUnresponsive) {
        return undefined;
    }
    await scheduler.orders.add("stop", worker, async () => {
        if (worker.isUnresponsive) {
            return undefined;
        }
        const sent = describeSentOrder(scheduler, worker);
        const stopped = await scheduler.workers.stop(worker, order);
        if (stopped.kind === "done") {
            applyOrderAnswer(scheduler, worker, stopped.clockMs, sent);
        }
        outcome = stopped;
        return isAnswer(stopped);
    });
    return outcome;
}

/**
 * Stops the remaining members of a gang's run.
 *
 * @param scheduler - The scheduler.
 * @param step - The gang's step.
 * @param runNumber - The run number; members with a lower number are stopped too.
 */
export function stopGang(scheduler: Scheduler, step: StepEntry, runNumber: number): void {
    listMembers(step, runNumber).forEach(run => stopRun(scheduler, run, "gang-broken"));
}

/**
 * Ends a gang's run after a worker has reported the end of a member. The workers end the members that run by
 * themselves; the others are stopped.
 *
 * @param scheduler - The scheduler.
 * @param step - The gang's step.
 * @param runNumber - The run number of the member; members with a lower number are ended too.
 */
export function endGang(scheduler: Scheduler, step: StepEntry, runNumber: number): void {
    for (const run of listMembers(step, runNumber)) {
        if (run.number === runNumber) {
            awaitGangEnd(scheduler, run, "gang-broken");
        }
        else {
            stopRun(scheduler, run, "gang-broken");
        }
    }
}

function listMembers(step: StepEntry, runNumber: number): readonly Run[] {
    return step.tasks.flatMap(task => task.runs.filter(run => run.number <= runNumber));
}
