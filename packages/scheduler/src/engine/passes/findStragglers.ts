import { getExpectedRelativeRunTime } from "../../state/getExpectedRelativeRunTime.js";
import type { Run, StepEntry, TaskEntry } from "../../state/JobEntry.js";
import { isSuspected } from "../crashes/suspicion.js";
import type { Scheduler } from "../Scheduler.js";

/** Multiple of the expected run time after which a run counts as a straggler. */
const STRAGGLER_FACTOR = 1.5;

/** Lower bound of the progress from which the remaining time is extrapolated, in percent. */
const MIN_PROGRESS_PERCENT = 5;

/**
 * Finds the tasks of a step for which a speculative copy would probably end before the current run.
 *
 * @param scheduler - The scheduler.
 * @param step - The step.
 * @returns The tasks; none if the step is a gang, is lasting or allows no copies. A task that is suspected of
 * crashing its workers gets no copy, which would crash a further worker.
 */
export function findStragglers(scheduler: Scheduler, step: StepEntry): readonly TaskEntry[] {
    const { copiesAllowed, gang, lasting } = step.spec;
    if (!copiesAllowed || gang || lasting) {
        return [];
    }
    const { medianMs } = scheduler.runTimePredictor.forecast(step);
    return step.tasks.filter(task => {
        const { done, runs: [run, copy] } = task;
        return !done && !isSuspected(task) && run !== undefined && copy === undefined
            && isStraggler(run, medianMs, scheduler.clock());
    });
}

/** Returns whether a run takes longer than usual on its own worker, and its rest longer than a run on a typical one. */
function isStraggler(run: Run, medianMs: number, now: number): boolean {
    const elapsedMs = now - run.confirmedAt;
    const expectedRunMs = medianMs * getExpectedRelativeRunTime(run.worker, run.confirmedAt);
    if (run.phase !== "running" || elapsedMs < STRAGGLER_FACTOR * expectedRunMs) {
        return false;
    }
    const remainingMs = elapsedMs * (100 - run.percent) / Math.max(run.percent, MIN_PROGRESS_PERCENT);
    return remainingMs > medianMs;
}
