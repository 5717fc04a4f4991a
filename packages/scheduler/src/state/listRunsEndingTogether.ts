import type { Run } from "./JobEntry.js";

/**
 * Lists the runs that end together with a run.
 *
 * @param run - The run.
 * @returns The runs of all members if the run belongs to a gang, otherwise the run alone.
 */
export function listRunsEndingTogether(run: Run): readonly Run[] {
    const { step } = run.task;
    return step.spec.gang ? step.tasks.flatMap(task => task.runs) : [run];
}
