import type { AssignTasksOptions } from "../../placement/assignTasks.js";
import { assignTasks } from "../../placement/assignTasks.js";
import type { Assignment } from "../../placement/countFittingTasks.js";
import type { StepEntry, TaskEntry } from "../../state/JobEntry.js";
import { mayIsolate } from "../crashes/isIsolated.js";
import { isSuspected } from "../crashes/suspicion.js";
import type { Scheduler } from "../Scheduler.js";
import { assignSuspectedGang, assignSuspects, waitsForEmptyWorker } from "./assignSuspects.js";

/**
 * Chooses workers for the tasks of a step. Tasks that are suspected of crashing their workers get workers apart from
 * all others; those that wait for such a worker get none.
 *
 * @param scheduler - The scheduler.
 * @param step - The step.
 * @param waiting - Waiting tasks of the step; all of its tasks if it is a gang.
 * @param options - The workers, and what the step needs of them.
 * @returns An assignment for each task that fits; for a gang, for all or for none.
 */
export function assignStep(
    scheduler: Scheduler,
    step: StepEntry,
    waiting: readonly TaskEntry[],
    { workers, scope, limit }: AssignTasksOptions,
): readonly Assignment[] {
    if (!waiting.some(isSuspected)) {
        return assignTasks(step, waiting, { workers, scope, limit });
    }
    const now = scheduler.clock();
    const suspects = waiting.filter(isSuspected)
        .filter(task => mayIsolate(scheduler.fleet, now) || !waitsForEmptyWorker(task, now));
    if (step.spec.gang) {
        return suspects.length === 0 ? [] : assignSuspectedGang(scheduler, step, { workers, scope, limit });
    }
    const apart = assignSuspects(scheduler, step, suspects, workers);
    const occupied = new Set(apart.map(({ worker }) => worker));
    const others = waiting.filter(task => !isSuspected(task));
    const remaining = workers.filter(worker => !occupied.has(worker));
    return [...apart, ...assignTasks(step, others, { workers: remaining, scope, limit })];
}
