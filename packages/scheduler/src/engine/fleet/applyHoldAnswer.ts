import type { EndedRun, HoldAnswer, RunningRun } from "../../ports/WorkerPort.js";
import { isFinalState } from "../../state/isFinalState.js";
import type { Run } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { forgetCrashes } from "../crashes/suspicion.js";
import { applyRunEnd } from "../runs/applyRunEnd.js";
import { confirmRun } from "../runs/confirmRun.js";
import { findTask } from "../runs/findTask.js";
import { paceBestEffortRuns } from "../runs/paceBestEffortRuns.js";
import { recordProgress } from "../runs/recordRunTimes.js";
import { releaseLostRun } from "../runs/releaseLostRun.js";
import { relocateRuns } from "../runs/relocateRuns.js";
import { createRun } from "../runs/runs.js";
import { stopRun } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";
import { recordClock } from "./workerClock.js";

/**
 * Applies a worker's answer to a hold: ended runs, current runs, and known runs that it no longer lists.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @param answer - The worker's answer.
 * @param sentAt - Monotonic time at which the hold was sent, in milliseconds.
 */
export function applyHoldAnswer(
    scheduler: Scheduler,
    worker: WorkerEntry,
    answer: HoldAnswer,
    sentAt: number,
): void {
    const now = scheduler.clock();
    recordClock(worker, { clockMs: answer.clockMs, sentAt, readAt: now });
    for (const endedRun of answer.ended) {
        if (endedRun.number > worker.ends.lastApplied) {
            worker.ends.lastApplied = endedRun.number;
            applyRunEnd(scheduler, worker, endedRun);
            recordUnstoredEnd(scheduler, worker, endedRun);
        }
    }
    const listed = new Set<Run>();
    for (const runningRun of answer.running) {
        const run = applyRunningRun(scheduler, worker, runningRun, now);
        if (run !== undefined) {
            listed.add(run);
        }
    }
    for (const run of [...worker.runs]) {
        if (!listed.has(run) && answer.listsAllEnds && hasCertainlyEnded(run, sentAt)) {
            releaseLostRun(scheduler, run, "not-listed");
        }
    }
    relocateRuns(scheduler, worker);
    paceBestEffortRuns(scheduler, worker);
}

function recordUnstoredEnd(scheduler: Scheduler, worker: WorkerEntry, { task, number }: EndedRun): void {
    const job = scheduler.jobs.get(task.job);
    if (job !== undefined && job.storedChangeCount < job.changeCount) {
        worker.ends.unstored.push({ number, job, changeCount: job.changeCount });
    }
}

/** A missing run has ended only if the hold was sent after the worker last confirmed the run or answered its stop. */
function hasCertainlyEnded(run: Run, sentAt: number): boolean {
    if (run.phase === "stopping") {
        return run.stopAnsweredAt !== undefined && run.stopAnsweredAt <= sentAt;
    }
    return run.isConfirmed && run.confirmedAt <= sentAt;
}

function applyRunningRun(
    scheduler: Scheduler,
    worker: WorkerEntry,
    runningRun: RunningRun,
    now: number,
): Run | undefined {
    const task = findTask(scheduler, runningRun.task);
    if (task === undefined) {
        stopUnknownRun(scheduler, worker, runningRun);
        return undefined;
    }
    const known = task.runs.find(run => run.worker === worker && run.number === runningRun.run);
    const run = known ?? createRun(task, worker, runningRun.run, now, false);
    confirmRun(run, now);
    run.incarnationBornMs = worker.bornMs;
    if (runningRun.percent > run.percent) {
        run.percent = runningRun.percent;
        run.progressedAt = now;
        recordProgress(scheduler, run, now);
    }
    run.load = runningRun.load;
    if (runningRun.checkpoint !== "") {
        task.checkpoint = runningRun.checkpoint;
    }
    forgetCrashes(scheduler, task, run.number, now - run.confirmedAt);
    if (known === undefined) {
        adoptRun(scheduler, run);
    }
    return run;
}

/** Adopts a run that an earlier owner or a delayed start has begun; stops it if it is not wanted. */
function adoptRun(scheduler: Scheduler, run: Run): void {
    const { task } = run;
    const isNewest = task.runs.every(other => other === run || other.number < run.number);
    const isWanted = !task.done && !isFinalState(task.step.job.state) && task.runs.length === 1 && isNewest;
    scheduler.log.info("A run is adopted.", {
        ...task.name,
        run: run.number,
        worker: run.worker.id,
        wanted: isWanted,
    });
    if (!isWanted) {
        stopRun(scheduler, run, "unknown-run");
    }
}

function stopUnknownRun(scheduler: Scheduler, worker: WorkerEntry, runningRun: RunningRun): void {
    if (!scheduler.isLoaded) {
        return;
    }
    scheduler.log.warn("A worker runs an unknown task; the run is stopped.", {
        ...runningRun.task,
        run: runningRun.run,
        worker: worker.id,
    });
    const order = { task: runningRun.task, run: runningRun.run, fence: scheduler.ownership.revision };
    scheduler.spawn(async () => {
        const outcome = await scheduler.workers.stop(worker, order);
        scheduler.metrics.orderFaults.inc({ order: "stop-unknown", reason: outcome.kind });
    });
}
