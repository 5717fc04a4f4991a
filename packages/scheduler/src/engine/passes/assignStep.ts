import { assignTasks } from "../../placement/assignTasks.js";
import type { Assignment } from "../../placement/countFittingTasks.js";
import type { PlacementScope } from "../../placement/createUnplacedSteps.js";
import type { StepEntry, TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { isSuspected, mayIsolate } from "../crashes/isIsolated.js";
import type { Scheduler } from "../Scheduler.js";
import { assignSuspectedGang, assignSuspects, waitsForEmptyWorker } from "./assignSuspects.js";

/** Options of `assignStep`. */
export type AssignStepOptions = {
    /** Usable workers that match the step's service and required label. */
    readonly workers: readonly WorkerEntry[];
    /** The scope in which the step needs room. */
    readonly scope: PlacementScope;
};

/**
 * Chooses workers for the tasks of a step. Tasks that are suspected of crashing their workers get workers apart from
 * all others; those that wait for such a worker get none.
 *
 * @param scheduler - The scheduler.
 * @param step - The step.
 * @param waiting - Waiting tasks of the step; all of its tasks if it is a gang.
 * @param options - The workers and the scope.
 * @returns An assignment for each task that fits; for a gang, for all or for none.
 */
export function assignStep(
    scheduler: Scheduler,
    step: StepEntry,
    waiting: readonly TaskEntry[],
    { workers, scope }: AssignStepOptions,
): readonly Assignment[] {
    if (!waiting.some(isSuspected)) {
        return assignTasks(step, waiting, workers, scope);
    }
    const now = scheduler.clock();
    const suspects = waiting.filter(isSuspected)
        .filter(task => mayIsolate(scheduler.fleet, now) || !waitsForEmptyWorker(task, now));
    if (step.spec.gang) {
        return suspects.length === 0 ? [] : assignSuspectedGang(step, workers, scope === "rack", now);
    }
    const apart = assignSuspects(step, suspects, workers, now);
    const occupied = new Set(apart.map(({ worker }) => worker));
    const others = waiting.filter(task => !isSuspected(task));
    return [...apart, ...assignTasks(step, others, workers.filter(worker => !occupied.has(worker)), scope)];
}
