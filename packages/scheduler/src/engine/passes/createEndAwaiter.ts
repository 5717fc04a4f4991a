import { memoize } from "../../_lib/memoize.js";
import { getExpectedRelativeRunTime } from "../../state/getExpectedRelativeRunTime.js";
import type { Run, StepEntry } from "../../state/JobEntry.js";
import { listRunsEndingTogether } from "../../state/listRunsEndingTogether.js";
import type { Scheduler } from "../Scheduler.js";
import { estimatePathMs } from "./estimatePathMs.js";
import { estimateUnitRemainingMs } from "./estimateRemainingMs.js";
import type { RankedJob } from "./orderJobs.js";

/** Share of a guaranteed job's slack that it may wait for runs to end; the rest is for longer runs than expected. */
const AWAITED_SLACK_SHARE = 0.5;

/**
 * Time from its acceptance until which a guaranteed job waits for runs to end by themselves, in milliseconds. After it,
 * runs are stopped early enough for the job to start 2,700 ms after its acceptance.
 */
const MAX_AWAITED_MS = 500;

/**
 * Creates a function that returns when a run ends by itself, if a guaranteed step can wait for that.
 *
 * @param scheduler - The scheduler.
 * @param ranked - The step's job.
 * @param step - The step.
 * @returns Returns the remaining time of a run in milliseconds; `undefined` if it ends too late for the step, or it is
 * not known when.
 */
export function createEndAwaiter(
    scheduler: Scheduler,
    ranked: RankedJob,
    step: StepEntry,
): (run: Run) => number | undefined {
    const now = scheduler.clock();
    const forecast = memoize(scheduler.runTimePredictor.forecast);
    const { entry, times } = ranked;
    const pathMs = estimatePathMs(step, { forecast });
    const hasObjective = entry.job.schedule === undefined && !step.spec.lasting && pathMs > 0;
    const remainingObjectiveMs = hasObjective
        ? times.objectiveMs - (now - entry.acceptedAt)
        : Number.POSITIVE_INFINITY;
    const waitingSince = step.spec.after.length === 0 ? entry.acceptedAt : step.readyAt ?? now;
    const boundMs = MAX_AWAITED_MS - (now - waitingSince);
    return run => {
        // The runs of a gang get the same answer, that for its slowest worker, since they end together.
        const relativeRunTimes = listRunsEndingTogether(run).map(({ worker }) =>
            getExpectedRelativeRunTime(worker, now)
        );
        const slackMs = remainingObjectiveMs - pathMs * Math.max(...relativeRunTimes);
        const waitMs = Math.min(boundMs, AWAITED_SLACK_SHARE * slackMs);
        const remainingMs = waitMs > 0
            ? estimateUnitRemainingMs(run, { forecast: forecast(run.task.step), now })
            : undefined;
        return remainingMs !== undefined && remainingMs <= waitMs ? remainingMs : undefined;
    };
}
