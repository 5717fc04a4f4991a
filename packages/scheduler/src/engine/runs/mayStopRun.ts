import type { Run } from "../../state/JobEntry.js";

/**
 * Returns whether the scheduler may stop a run without exceeding the step's limit of unavailable tasks.
 *
 * @param run - The run.
 * @returns True if fewer tasks are unavailable than the limit; always true for a step that is not lasting or
 * has no limit.
 */
export function mayStopRun({ task: { step } }: Run): boolean {
    const { lasting, maxUnavailable } = step.spec;
    const unavailable = step.tasks.filter(task => !task.runs.some(isServing)).length;
    return !lasting || maxUnavailable === 0 || unavailable < maxUnavailable;
}

/** A lasting task serves from the end of its start-up until it is stopped. */
function isServing(run: Run): boolean {
    return run.phase === "running" && run.percent >= 100;
}
