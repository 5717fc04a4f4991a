import type { StepEntry, TaskEntry } from "./JobEntry.js";

/**
 * Lists the tasks of a step that are not done and have no run.
 *
 * @param step - The step.
 * @returns The tasks, ordered by index.
 */
export function listWaitingTasks(step: StepEntry): readonly TaskEntry[] {
    return step.tasks.filter(task => !task.done && task.runs.length === 0);
}
