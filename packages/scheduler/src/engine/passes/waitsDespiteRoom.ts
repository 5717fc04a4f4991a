import type { Step } from "@balsamward/schema/scheduling";
import type { WorkerGroup } from "../../placement/createWorkerGroups.js";
import { hasRoomFor } from "../../placement/hasRoomFor.js";
import type { StepEntry } from "../../state/JobEntry.js";
import { listSteps } from "../../state/listSteps.js";
import { RESOURCE_KINDS } from "../../state/ResourceAmounts.js";
import { computeFitRatio } from "./computeFitRatio.js";
import type { ServiceCapacity } from "./measureCapacity.js";

/** Waiting time from which ample room should have been used, in milliseconds. */
const LONG_WAIT_MS = 2_000;

/** Share of the resources in use up to which room is ample. */
const MAX_USED_SHARE = 0.5;

/** Number of times that a step must fit on the workers for room to be ample. */
const MIN_FIT_COUNT = 2;

/** What a step is compared with. */
export type WaitSurroundings = {
    /** Workers that match the step's service and required label. */
    readonly group: WorkerGroup;
    /** Capacity of the step's service. */
    readonly capacity: ServiceCapacity | undefined;
    /** Monotonic time in milliseconds. */
    readonly now: number;
};

/**
 * Returns whether a step has waited for long although its service has ample room: at most half of each kind of
 * resource that the step needs is in use, and two copies of the step, or two tasks of a lasting one, fit on the
 * workers.
 *
 * @param step - The step, which is ready.
 * @param surroundings - The step's workers, the capacity of its service and the time.
 * @returns True if the step waits so and its job has no run; a lasting step counts even if the job has runs.
 */
export function waitsDespiteRoom(step: StepEntry, { group, capacity, now }: WaitSurroundings): boolean {
    if (
        now - (step.waitingSince ?? now) < LONG_WAIT_MS
        || capacity === undefined
        || computeUsedShare(capacity, step.spec) > MAX_USED_SHARE
    ) {
        return false;
    }
    const needed = step.spec.lasting ? { ...step.spec, taskCount: 1 } : step.spec;
    return computeFitRatio(capacity.free, needed) >= MIN_FIT_COUNT
        && (step.spec.lasting || hasNoRuns(step))
        && hasRoomFor(group.listNonDraining(), needed, MIN_FIT_COUNT);
}

/** Returns the used share of the most used kind of resource that a step needs. */
function computeUsedShare({ free, total }: ServiceCapacity, { request }: Step): number {
    const shares = RESOURCE_KINDS
        .filter(kind => (request?.[kind] ?? 0) > 0 && total[kind] > 0)
        .map(kind => 1 - free[kind] / total[kind]);
    return Math.max(0, ...shares);
}

function hasNoRuns({ job }: StepEntry): boolean {
    return listSteps(job).every(step => step.tasks.every(task => task.runs.length === 0));
}
