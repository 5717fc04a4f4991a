import { applyTaskRequest } from "../../placement/applyTaskRequest.js";
import type { Run, TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { forgetSuspectedRun } from "../crashes/suspectedRuns.js";

/**
 * Creates a run and allocates its resources on the worker.
 *
 * @param task - The task.
 * @param worker - The worker.
 * @param number - The run number.
 * @param now - Monotonic time in milliseconds.
 * @param isOrderedHere - Whether this owner orders the run; false if the worker already had it.
 * @returns The run, not yet confirmed.
 */
export function createRun(
    task: TaskEntry,
    worker: WorkerEntry,
    number: number,
    now: number,
    isOrderedHere: boolean,
): Run {
    const run: Run = {
        task,
        worker,
        number,
        phase: "starting",
        coversWholeTask: isOrderedHere && task.checkpoint === "",
        isOrderSent: !isOrderedHere,
        hasUnknownEnd: false,
        isConfirmed: false,
        orderedAt: now,
        confirmedAt: now,
        incarnationBornMs: undefined,
        stopAnsweredAt: undefined,
        percent: 0,
        progressedAt: now,
        load: 0,
        pacePercent: 100,
        wasPaced: false,
    };
    task.runs.push(run);
    task.lastRun = Math.max(task.lastRun, number);
    task.step.waitingSince = undefined;
    task.step.isWaitLogged = false;
    worker.runs.add(run);
    applyTaskRequest(worker.free, task.step.spec, -1);
    return run;
}

/**
 * Removes a run that has certainly ended and frees its resources on the worker. The last run of a worker ends its
 * isolation.
 *
 * @param run - The run; one that has been removed already is ignored.
 */
export function releaseRun(run: Run): void {
    if (!run.worker.runs.delete(run)) {
        return;
    }
    run.task.runs.splice(run.task.runs.indexOf(run), 1);
    if (!run.hasUnknownEnd) {
        forgetSuspectedRun(run.task, run.number);
    }
    applyTaskRequest(run.worker.free, run.task.step.spec, 1);
    if (run.worker.runs.size === 0) {
        run.worker.isolatedUntil = Number.NEGATIVE_INFINITY;
    }
}
