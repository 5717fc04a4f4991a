import type { JobEntry, StepEntry } from "../state/JobEntry.js";
import { listSteps } from "../state/listSteps.js";
import { countFits } from "./countFits.js";
import { findOpenSteps } from "./findOpenSteps.js";
import type { ServiceRoom } from "./measureRoom.js";

/** Time for which a step has waited before it counts as starved, in milliseconds. */
const STARVATION_MS = 10_000;

/** The same for a step of lasting tasks, which serve nobody while they wait, in milliseconds. */
const LASTING_STARVATION_MS = 2_000;

/** Share of the resources in use above which waiting is no wonder. */
const CALM_SHARE = 0.6;

/** Multiple of a step's need that is free when only the way in which it is spread keeps the step waiting. */
const AMPLE_FITS = 2;

/**
 * Returns whether a job waits although the fleet has ample room, because the free room is scattered.
 *
 * @param entry - The job.
 * @param room - Room of its service.
 * @param now - Steady time in milliseconds.
 * @returns True if a step of a job of which nothing runs has waited; a lasting step counts by itself.
 */
export function isStarved(entry: JobEntry, room: ServiceRoom, now: number): boolean {
    if (room.usedShare > CALM_SHARE) {
        return false;
    }
    const waiting = findOpenSteps(entry).filter(step => hasWaitedLong(step, now));
    const isIdle = listSteps(entry).every(step => step.tasks.every(task => task.runs.length === 0));
    return waiting.some(step =>
        (isIdle || step.spec.lasting) && countFits(room.free, step.spec) >= AMPLE_FITS
    );
}

function hasWaitedLong(step: StepEntry, now: number): boolean {
    return now - (step.readyAt ?? now) >= (step.spec.lasting ? LASTING_STARVATION_MS : STARVATION_MS);
}
