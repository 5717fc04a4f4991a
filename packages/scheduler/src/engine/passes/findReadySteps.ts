import type { JobEntry, StepEntry } from "../../state/JobEntry.js";
import { isWaiting } from "../../state/listWaitingTasks.js";

/**
 * Finds the steps of a job that have waiting tasks and whose preceding steps are done, and records since when they have
 * been ready.
 *
 * @param entry - The job.
 * @param now - Monotonic time in milliseconds.
 * @returns The steps of all occurrences of the job.
 */
export function findReadySteps(entry: JobEntry, now: number): readonly StepEntry[] {
    const ready: StepEntry[] = [];
    for (const steps of entry.occurrences.values()) {
        for (const step of steps) {
            if (hasWaitingTasks(step) && step.spec.after.every(number => isDone(steps[number]))) {
                step.readyAt ??= now;
                ready.push(step);
            }
        }
    }
    return ready;
}

function hasWaitingTasks(step: StepEntry): boolean {
    return step.doneCount < step.tasks.length && step.tasks.some(isWaiting);
}

function isDone(step: StepEntry | undefined): boolean {
    return step !== undefined && step.doneCount === step.tasks.length;
}
