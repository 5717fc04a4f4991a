import type { EndedRun } from "../../ports/WorkerPort.js";
import { isFinalState } from "../../state/isFinalState.js";
import type { TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { forgetCrashes } from "../crashes/suspicion.js";
import { pauseWorker } from "../fleet/pauseWorker.js";
import { endJobIfComplete, markProgressChanged } from "../jobs/endJob.js";
import type { Scheduler } from "../Scheduler.js";
import { countFailure } from "./countFailure.js";
import { findTask } from "./findTask.js";
import { listTasksSharingOutcome } from "./listTasksSharingOutcome.js";
import { markStarted } from "./markStarted.js";
import { recordCompleteRun } from "./recordRunTimes.js";
import { releaseRun } from "./runs.js";
import { endGang, stopRun } from "./stopRun.js";

/**
 * Applies the end of a run that a worker reports.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @param endedRun - The reported end.
 */
export function applyRunEnd(scheduler: Scheduler, worker: WorkerEntry, endedRun: EndedRun): void {
    scheduler.metrics.runEnds.inc({ how: endedRun.how });
    scheduler.log.info("A run ends.", {
        ...endedRun.task,
        run: endedRun.run,
        worker: worker.id,
        end: endedRun.number,
        how: endedRun.how,
    });
    const task = findTask(scheduler, endedRun.task);
    if (task === undefined) {
        return;
    }
    const run = task.runs.find(candidate => candidate.worker === worker && candidate.number === endedRun.run);
    const wasStopping = run?.phase === "stopping";
    if (run !== undefined) {
        if (endedRun.how === "done") {
            recordCompleteRun(scheduler, run);
        }
        releaseRun(run);
    }
    markStarted(task.step.job);
    task.lastRun = Math.max(task.lastRun, endedRun.run);
    if (endedRun.checkpoint !== "") {
        saveCheckpoint(task, endedRun.checkpoint);
    }
    if (!isFinalState(task.step.job.state)) {
        applyOutcome(scheduler, worker, task, endedRun, wasStopping);
    }
    scheduler.requestPass();
}

function applyOutcome(
    scheduler: Scheduler,
    worker: WorkerEntry,
    task: TaskEntry,
    endedRun: EndedRun,
    wasStopping: boolean,
): void {
    const { step } = task;
    switch (endedRun.how) {
        case "done":
            worker.consecutiveFaults = 0;
            forgetCrashes(scheduler, task, endedRun.run, Number.POSITIVE_INFINITY);
            completeTasks(scheduler, listTasksSharingOutcome(task));
            return;
        case "failed":
            forgetCrashes(scheduler, task, endedRun.run, Number.POSITIVE_INFINITY);
            // A lasting task may fail at any time; its failure does not indicate a fault of the worker.
            if (!wasStopping && !step.spec.lasting) {
                task.avoidedWorkers.add(worker.id);
                pauseWorker(scheduler, worker);
            }
            if (!step.spec.lasting) {
                countFailure(scheduler, task, endedRun.run);
            }
            if (step.spec.gang) {
                endGang(scheduler, step, endedRun.run);
            }
            return;
        case "stopped":
        case "lapsed":
        case "broken":
        case "alone":
            if (step.spec.gang) {
                endGang(scheduler, step, endedRun.run);
            }
    }
}

/** Saves a task's checkpoint; one of any member of a gang resumes the whole gang. */
function saveCheckpoint(task: TaskEntry, checkpoint: string): void {
    listTasksSharingOutcome(task).forEach(member => {
        member.checkpoint = checkpoint;
    });
}

function completeTasks(scheduler: Scheduler, tasks: readonly TaskEntry[]): void {
    for (const task of tasks) {
        if (task.done || task.step.spec.lasting) {
            continue;
        }
        task.done = true;
        task.step.doneCount += 1;
        markProgressChanged(scheduler, task.step.job);
        if (!task.step.spec.gang) {
            task.runs.forEach(run => stopRun(scheduler, run, "copy-done"));
        }
    }
    const job = tasks[0]?.step.job;
    if (job !== undefined) {
        endJobIfComplete(scheduler, job);
    }
}
