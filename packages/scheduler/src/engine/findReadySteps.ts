import type { JobEntry, StepEntry } from "../state/JobEntry.js";
import { listWaitingTasks } from "../state/listWaitingTasks.js";

/**
 * Finds the steps of a job that have waiting tasks and whose preceding steps are done.
 *
 * @param entry - The job.
 * @returns The steps of all occurrences of the job.
 */
export function findReadySteps(entry: JobEntry): readonly StepEntry[] {
    return [...entry.occurrences.values()].flatMap(steps =>
        steps.filter(step =>
            step.doneCount < step.tasks.length
            && step.spec.after.every(number => isDone(steps[number]))
            && listWaitingTasks(step).length > 0
        )
    );
}

function isDone(step: StepEntry | undefined): boolean {
    return step !== undefined && step.doneCount === step.tasks.length;
}
