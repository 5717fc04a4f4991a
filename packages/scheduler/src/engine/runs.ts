import { applyTaskRequest } from "../placement/applyTaskRequest.js";
import type { Run, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/**
 * Creates a run and takes up its resources on the worker.
 *
 * @param task - The task.
 * @param worker - The worker.
 * @param number - The run's number.
 * @param now - Steady time in milliseconds.
 * @param isOrdered - Whether this owner orders the run; otherwise it was found on the worker.
 * @returns The run, not confirmed.
 */
export function createRun(
    task: TaskEntry,
    worker: WorkerEntry,
    number: number,
    now: number,
    isOrdered: boolean,
): Run {
    const run: Run = {
        task,
        worker,
        number,
        phase: "starting",
        coversWholeTask: isOrdered && task.checkpoint === "",
        isConfirmed: false,
        orderedAt: now,
        confirmedAt: now,
        stopAnsweredAt: undefined,
        percent: 0,
        progressedAt: now,
        load: 0,
        pacePercent: 100,
    };
    task.runs.push(run);
    task.lastRun = Math.max(task.lastRun, number);
    task.step.job.hasStarted = true;
    worker.runs.add(run);
    applyTaskRequest(worker.free, task.step.spec, -1);
    return run;
}

/**
 * Removes a run that has certainly ended and frees its resources.
 *
 * @param run - The run.
 */
export function releaseRun(run: Run): void {
    if (!run.worker.runs.delete(run)) {
        return;
    }
    run.task.runs.splice(run.task.runs.indexOf(run), 1);
    applyTaskRequest(run.worker.free, run.task.step.spec, 1);
}
