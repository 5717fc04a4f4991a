import type { JobEntry, StepEntry } from "../../state/JobEntry.js";
import { listSteps } from "../../state/listSteps.js";
import { computeFitRatio } from "./computeFitRatio.js";
import type { ServiceCapacity } from "./measureCapacity.js";

/** Waiting time after which a step counts as starved, in milliseconds. */
const STARVATION_MS = 10_000;

/** The same for a lasting step, in milliseconds; shorter, since its tasks serve no requests while they wait. */
const LASTING_STARVATION_MS = 2_000;

/** Share of the resources in use up to which a wait is not explained by load. */
const MAX_USED_SHARE = 0.75;

/** Number of times that a step must fit into the free resources for fragmentation to be the cause of its wait. */
const MIN_FIT_RATIO = 2;

/**
 * Returns whether a job waits although its service has ample free capacity, because that is fragmented.
 *
 * @param entry - The job.
 * @param readySteps - Steps of the job that have waiting tasks and whose preceding steps are done.
 * @param capacity - Capacity of the job's service.
 * @param now - Monotonic time in milliseconds.
 * @returns True if a step has waited long and the job has no runs; a lasting step counts even if the job has runs.
 */
export function isStarved(
    entry: JobEntry,
    readySteps: readonly StepEntry[],
    capacity: ServiceCapacity,
    now: number,
): boolean {
    if (capacity.usedShare > MAX_USED_SHARE || now - entry.acceptedAt < LASTING_STARVATION_MS) {
        return false;
    }
    const longWaiting = readySteps.filter(step => hasWaitedLong(step, now));
    const hasNoRuns = listSteps(entry).every(step => step.tasks.every(task => task.runs.length === 0));
    return longWaiting.some(step =>
        (hasNoRuns || step.spec.lasting) && computeFitRatio(capacity.free, step.spec) >= MIN_FIT_RATIO
    );
}

function hasWaitedLong(step: StepEntry, now: number): boolean {
    return now - (step.readyAt ?? now) >= (step.spec.lasting ? LASTING_STARVATION_MS : STARVATION_MS);
}
