import type { RunTimeLimit } from "../../placement/RunTimeLimit.js";
import { getExpectedRelativeRunTime } from "../../state/getExpectedRelativeRunTime.js";
import type { StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { LATE_FACTOR } from "./estimateJobTimes.js";
import { estimatePathMs } from "./estimatePathMs.js";
import type { RankedJob } from "./orderJobs.js";

/**
 * Factor by which the limit leaves more time than the expected run times need. With members whose run times differ by
 * 15 %, the slowest of a gang takes up to 1.4 times the median, and other runs on its worker slow it down further. An
 * error of the estimate needs no allowance, since it changes the objective as much as the run time.
 */
const SAFETY_FACTOR = 1.6;

/** Time from the choice of workers until the runs have begun, in milliseconds. */
const START_TIME_MS = 250;

/** Limit of a step that any worker serves as well. */
const ANY_RELATIVE_RUN_TIME = Number.POSITIVE_INFINITY;

/**
 * Computes how fast the workers of a step have to be for its job to end within its objective. Each remaining step of
 * the job gets the same share of the time that is left. A job that would miss its objective even on the fastest worker
 * is held to the end of the time in which it still counts as late, and one that would miss that may use any worker.
 *
 * @param scheduler - The scheduler.
 * @param ranked - The step's job.
 * @param step - The step, which is ready.
 * @param workers - Workers that match the step's service and required label.
 * @returns The limit; `undefined` if speeds do not matter, as all workers are equally fast, the step is lasting, or
 * its run time is unknown.
 */
export function computeRunTimeLimit(
    scheduler: Scheduler,
    { entry, times }: Pick<RankedJob, "entry" | "times">,
    step: StepEntry,
    workers: readonly WorkerEntry[],
): RunTimeLimit | undefined {
    const now = scheduler.clock();
    let least = Number.POSITIVE_INFINITY;
    let greatest = 0;
    for (const worker of workers) {
        const relativeRunTime = getExpectedRelativeRunTime(worker, now);
        least = Math.min(least, relativeRunTime);
        greatest = Math.max(greatest, relativeRunTime);
    }
    const pathMs = step.spec.lasting || least >= greatest
        ? 0
        : estimatePathMs(step, scheduler.runTimePredictor);
    if (pathMs <= 0) {
        return undefined;
    }
    const beganAt = entry.job.schedule === undefined ? entry.acceptedAt : step.readyAt ?? now;
    const passedMs = now - beganAt + START_TIME_MS;
    const reachableMs = [times.objectiveMs, LATE_FACTOR * times.objectiveMs]
        .find(deadlineMs => deadlineMs - passedMs >= pathMs * least);
    const maxRelativeRunTime = reachableMs === undefined
        ? ANY_RELATIVE_RUN_TIME
        : (reachableMs - passedMs) / (pathMs * SAFETY_FACTOR);
    return { maxRelativeRunTime, now };
}
