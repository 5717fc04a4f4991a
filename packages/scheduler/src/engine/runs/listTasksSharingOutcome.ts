import type { TaskEntry } from "../../state/JobEntry.js";

/**
 * Returns the tasks that an outcome of a task applies to.
 *
 * @param task - The task.
 * @returns All members of a gang, otherwise the task alone.
 */
export function listTasksSharingOutcome(task: TaskEntry): readonly TaskEntry[] {
    return task.step.spec.gang ? task.step.tasks : [task];
}
