import type { JobEntry, StepEntry } from "../../state/JobEntry.js";
import { isWaiting } from "../../state/listWaitingTasks.js";
import { isHeld } from "../crashes/crashHolds.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Finds the steps of a job that have waiting tasks, held ones left out, and whose preceding steps are done, and records
 * since when they have been ready and have waited.
 *
 * @param scheduler - The scheduler.
 * @param entry - The job.
 * @returns The steps of all occurrences of the job.
 */
export function findReadySteps(scheduler: Scheduler, entry: JobEntry): readonly StepEntry[] {
    const now = scheduler.clock();
    const ready: StepEntry[] = [];
    for (const steps of entry.occurrences.values()) {
        for (const step of steps) {
            if (hasTasksToPlace(scheduler, step) && step.spec.after.every(number => isDone(steps[number]))) {
                step.readyAt ??= now;
                step.waitingSince = isPartlyRunning(step) ? undefined : step.waitingSince ?? now;
                ready.push(step);
            }
        }
    }
    return ready;
}

function hasTasksToPlace(scheduler: Scheduler, step: StepEntry): boolean {
    return step.doneCount < step.tasks.length
        && step.tasks.some(task => isWaiting(task) && !isHeld(scheduler, task));
}

/** Returns whether a step has runs beside its waiting tasks; each task of a lasting step waits by itself. */
function isPartlyRunning({ spec, tasks }: StepEntry): boolean {
    return !spec.lasting && tasks.some(task => task.runs.length > 0);
}

function isDone(step: StepEntry | undefined): boolean {
    return step !== undefined && step.doneCount === step.tasks.length;
}
