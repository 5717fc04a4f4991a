import type { RunTimeForecast } from "../../runTimes/RunTimePredictor.js";
import { getExpectedRelativeRunTime } from "../../state/getExpectedRelativeRunTime.js";
import type { Run } from "../../state/JobEntry.js";
import { listRunsEndingTogether } from "../../state/listRunsEndingTogether.js";

/** Progress from which the run time is extrapolated, in percent. */
const MIN_PROGRESS_PERCENT = 10;

/** Progress of a run that has done its work, in percent. A gang's member reports it while it waits for the others. */
const DONE_PERCENT = 100;

/** Multiple of the extrapolated run time after which a run no longer counts as about to end. */
const OVERDUE_FACTOR = 1.1;

/** Options of `estimateRemainingMs`. */
export type EstimateRemainingOptions = {
    /** Expected distribution of the run's time on a typical worker. */
    readonly forecast: RunTimeForecast;
    /** Monotonic time in milliseconds. */
    readonly now: number;
};

/**
 * Estimates how long a run still takes, from its progress if it reports any, otherwise from the forecast.
 *
 * @param run - The run.
 * @param options - The forecast and the time.
 * @returns The time in milliseconds; `undefined` if the run is lasting or has exceeded what was expected, so that its
 * end is unknown.
 */
export function estimateRemainingMs(
    run: Run,
    { forecast: { medianMs, highMs }, now }: EstimateRemainingOptions,
): number | undefined {
    const { coversWholeTask, percent, progressedAt } = run;
    if (run.task.step.spec.lasting) {
        return undefined;
    }
    if (run.task.step.spec.gang && percent >= DONE_PERCENT) {
        return 0;
    }
    // The members of a gang make no progress until the last one has started.
    const beganAt = Math.max(...listRunsEndingTogether(run).map(({ confirmedAt }) => confirmedAt));
    const elapsedMs = now - beganAt;
    if (coversWholeTask && percent >= MIN_PROGRESS_PERCENT) {
        const totalMs = (progressedAt - beganAt) * 100 / percent;
        return elapsedMs <= totalMs * OVERDUE_FACTOR ? Math.max(0, totalMs - elapsedMs) : undefined;
    }
    const relativeRunTime = getExpectedRelativeRunTime(run.worker, beganAt);
    const totalMs = [medianMs, highMs].map(ms => ms * relativeRunTime).find(ms => elapsedMs <= ms);
    return totalMs === undefined ? undefined : totalMs - elapsedMs;
}

/**
 * Estimates how long a run and all runs that end with it still take.
 *
 * @param run - The run.
 * @param options - The forecast and the time.
 * @returns The time of the slowest member of a gang in milliseconds; `undefined` if the end is unknown.
 */
export function estimateUnitRemainingMs(run: Run, options: EstimateRemainingOptions): number | undefined {
    let longestMs = 0;
    for (const member of listRunsEndingTogether(run)) {
        const remainingMs = estimateRemainingMs(member, options);
        if (remainingMs === undefined) {
            return undefined;
        }
        longestMs = Math.max(longestMs, remainingMs);
    }
    return longestMs;
}
