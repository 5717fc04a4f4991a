import type { StepEntry, TaskEntry } from "./JobEntry.js";

/**
 * Lists the tasks of a step that are not done and have no run.
 *
 * @param step - The step.
 * @returns The tasks, ordered by index.
 */
export function listWaitingTasks(step: StepEntry): readonly TaskEntry[] {
    return step.tasks.filter(isWaiting);
}

/**
 * Returns whether a task is not done and has no run.
 *
 * @param task - The task.
 * @returns True if the task is to be placed once its step is ready.
 */
export function isWaiting({ done, runs }: TaskEntry): boolean {
    return !done && runs.length === 0;
}
