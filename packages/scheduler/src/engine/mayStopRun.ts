import type { Run } from "../state/JobEntry.js";

/**
 * Returns whether the scheduler may stop a run: a lasting step loses no more tasks at once than it allows.
 *
 * @param run - The run.
 * @returns True for every run of a step that does not last.
 */
export function mayStopRun({ task: { step } }: Run): boolean {
    const { lasting, maxUnavailable } = step.spec;
    const unavailable = step.tasks.filter(task => !task.runs.some(isServing)).length;
    return !lasting || maxUnavailable === 0 || unavailable < maxUnavailable;
}

/** A lasting task is at work after its start-up and until it is stopped. */
function isServing(run: Run): boolean {
    return run.phase === "running" && run.percent >= 100;
}
