import type { JobEntry, StepEntry } from "../state/JobEntry.js";
import { stepsOf } from "../state/stepsOf.js";
import { countFits } from "./countFits.js";
import { findReadySteps } from "./findReadySteps.js";
import type { ServiceCapacity } from "./measureCapacity.js";

/** Time for which a step has waited before it counts as starved, in milliseconds. */
const STARVATION_MS = 10_000;

/** The same for a step of lasting tasks, which serve nobody while they wait, in milliseconds. */
const LASTING_STARVATION_MS = 2_000;

/** Share of the resources in use above which waiting is no wonder. */
const MAX_USED_SHARE = 0.6;

/** Multiple of a step's need that is free when only the way in which it is spread keeps the step waiting. */
const MIN_FITS = 2;

/**
 * Returns whether a job waits although the fleet has ample room, because the free room is scattered.
 *
 * @param entry - The job.
 * @param capacity - Room of its service.
 * @param now - Steady time in milliseconds.
 * @returns True if a step of a job of which nothing runs has waited; a lasting step counts by itself.
 */
export function isStarved(entry: JobEntry, capacity: ServiceCapacity, now: number): boolean {
    if (capacity.usedShare > MAX_USED_SHARE) {
        return false;
    }
    const longWaiting = findReadySteps(entry).filter(step => hasWaitedLong(step, now));
    const hasNoRuns = stepsOf(entry).every(step => step.tasks.every(task => task.runs.length === 0));
    return longWaiting.some(step =>
        (hasNoRuns || step.spec.lasting) && countFits(capacity.free, step.spec) >= MIN_FITS
    );
}

function hasWaitedLong(step: StepEntry, now: number): boolean {
    return now - (step.readyAt ?? now) >= (step.spec.lasting ? LASTING_STARVATION_MS : STARVATION_MS);
}
