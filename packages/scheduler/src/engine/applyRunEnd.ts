import { JobState } from "@balsamward/schema/scheduling";
import type { EndedRun } from "../ports/WorkerPort.js";
import { isFinalState } from "../state/isFinalState.js";
import type { Run, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { endJob, endJobIfComplete, markDirty } from "./endJob.js";
import { findTask } from "./findTask.js";
import { releaseRun } from "./runs.js";
import type { Scheduler } from "./Scheduler.js";
import { pauseWorker } from "./startRun.js";
import { stopGang, stopRun } from "./stopRun.js";

/** Number of failures of a task after which its job fails, if its queue is no longer configured. */
const DEFAULT_ATTEMPTS = 2;

/**
 * Applies the end of a run that a worker reports.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @param row - The reported end.
 */
export function applyRunEnd(scheduler: Scheduler, worker: WorkerEntry, row: EndedRun): void {
    scheduler.metrics.runEnds.inc({ how: row.how });
    scheduler.log.info("A run ends.", {
        ...row.task,
        run: row.run,
        worker: worker.id,
        end: row.number,
        how: row.how,
    });
    const task = findTask(scheduler, row.task);
    if (task === undefined) {
        return;
    }
    const run = task.runs.find(candidate => candidate.worker === worker && candidate.number === row.run);
    const wasStopping = run?.phase === "stopping";
    if (run !== undefined) {
        recordRunTime(scheduler, run, row);
        releaseRun(run);
    }
    task.lastRun = Math.max(task.lastRun, row.run);
    if (row.checkpoint !== "") {
        saveCheckpoint(task, row.checkpoint);
    }
    if (!isFinalState(task.step.job.state)) {
        applyOutcome(scheduler, worker, task, row, wasStopping);
    }
    scheduler.requestPass();
}

function applyOutcome(
    scheduler: Scheduler,
    worker: WorkerEntry,
    task: TaskEntry,
    row: EndedRun,
    wasStopping: boolean,
): void {
    const { step } = task;
    switch (row.how) {
        case "done":
            worker.consecutiveFaults = 0;
            completeTasks(scheduler, tasksSharingOutcome(task));
            return;
        case "failed":
            // A lasting task may fail at any time; its failure does not indicate a fault of the worker.
            if (!wasStopping && !step.spec.lasting) {
                task.avoidedWorkers.add(worker.id);
                pauseWorker(scheduler, worker);
            }
            countFailure(scheduler, task, row.run);
            if (step.spec.gang) {
                stopGang(scheduler, step, row.run);
            }
            return;
        case "stopped":
        case "lapsed":
        case "broken":
        case "alone":
            if (step.spec.gang) {
                stopGang(scheduler, step, row.run);
            }
    }
}

/** Records the run time of a task; only runs from the task's beginning to its end are representative. */
function recordRunTime(scheduler: Scheduler, run: Run, row: EndedRun): void {
    const { step, name } = run.task;
    const isFirstMember = !step.spec.gang || name.index === 0;
    if (row.how === "done" && run.isConfirmed && run.coversWholeTask && isFirstMember) {
        scheduler.runTimePredictor.observe(
            step.job.queue,
            step.spec.estimatedMs,
            scheduler.clock() - run.confirmedAt,
        );
    }
}

/** Returns the tasks that an outcome of a task applies to: all members of a gang, otherwise the task alone. */
function tasksSharingOutcome(task: TaskEntry): readonly TaskEntry[] {
    return task.step.spec.gang ? task.step.tasks : [task];
}

/** Saves a task's checkpoint; one of any member of a gang resumes the whole gang. */
function saveCheckpoint(task: TaskEntry, checkpoint: string): void {
    tasksSharingOutcome(task).forEach(member => {
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
        markDirty(scheduler, task.step.job);
        if (!task.step.spec.gang) {
            task.runs.forEach(run => stopRun(scheduler, run, "copy-done"));
        }
    }
    const job = tasks[0]?.step.job;
    if (job !== undefined) {
        endJobIfComplete(scheduler, job);
    }
}

function countFailure(scheduler: Scheduler, task: TaskEntry, runNumber: number): void {
    const { step } = task;
    if (task.countedRun >= runNumber || task.done) {
        return;
    }
    for (const member of tasksSharingOutcome(task)) {
        member.countedRun = runNumber;
        member.failures += 1;
    }
    markDirty(scheduler, step.job);
    const queue = scheduler.configuration()?.queues.find(candidate => candidate.name === step.job.queue);
    const attempts = queue?.attempts ?? DEFAULT_ATTEMPTS;
    if (!step.spec.lasting && task.failures >= attempts) {
        endJob(scheduler, step.job, JobState.FAILED, "attempts-used-up");
    }
}
