import type { Step } from "@balsamward/schema/scheduling";
import { countFittingTasks } from "../../placement/countFittingTasks.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Roster } from "../Scheduler.js";

/** Why a worker with room for a task does not get it, or that nothing about the worker prevents it. */
export type Exclusion =
    | "unlisted"
    | "draining"
    | "evacuated"
    | "unanswered"
    | "unresponsive"
    | "cordoned"
    | "paused"
    | "not-in-roster"
    | "reserved"
    | "available";

/** Options of `countExclusions`. */
export type CountExclusionsOptions = {
    /** Workers that are kept free for other steps. */
    readonly reserved: ReadonlySet<WorkerEntry>;
    /** Data centres to which no work may be sent. */
    readonly evacuated: ReadonlySet<string>;
    /** Addresses of the workers in the stored roster. */
    readonly roster: Roster;
    /** Monotonic time in milliseconds. */
    readonly now: number;
};

/**
 * Counts the workers that have room for a task of a step by why they do not get it.
 *
 * @param step - The step.
 * @param workers - Workers that match the step's service and required label.
 * @param options - The reserved workers, the evacuated data centres, the roster and the time.
 * @returns The number of workers by the first reason that applies, without those of which there are none. If enough are
 * available, the step waits for one rack, for tickets or for starts that are ordered before.
 *
 * @example
 * countExclusions(spec, workers, options); // { paused: 12, reserved: 4 }
 */
export function countExclusions(
    step: Step,
    workers: readonly WorkerEntry[],
    options: CountExclusionsOptions,
): Readonly<Partial<Record<Exclusion, number>>> {
    const counts: Partial<Record<Exclusion, number>> = {};
    for (const worker of workers) {
        if (countFittingTasks(worker, step, 0) > 0) {
            const exclusion = findExclusion(worker, options);
            counts[exclusion] = (counts[exclusion] ?? 0) + 1;
        }
    }
    return counts;
}

function findExclusion(
    worker: WorkerEntry,
    { reserved, evacuated, roster, now }: CountExclusionsOptions,
): Exclusion {
    if (!worker.isListed) {
        return "unlisted";
    }
    if (worker.draining) {
        return "draining";
    }
    if (evacuated.has(worker.dataCentre)) {
        return "evacuated";
    }
    if (!worker.hasAnswered) {
        return "unanswered";
    }
    if (worker.isUnresponsive) {
        return "unresponsive";
    }
    if (worker.isCordoned) {
        return "cordoned";
    }
    if (roster.get(worker.id) !== worker.address) {
        return "not-in-roster";
    }
    if (worker.pausedUntil > now) {
        return "paused";
    }
    return reserved.has(worker) ? "reserved" : "available";
}
