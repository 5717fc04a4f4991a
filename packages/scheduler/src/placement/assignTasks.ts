import type { StepEntry, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Assignment } from "./countFittingTasks.js";
import type { PlacementScope } from "./createUnplacedSteps.js";
import { placeGang } from "./placeGang.js";
import { placeTasks } from "./placeTasks.js";
import type { RunTimeLimit } from "./RunTimeLimit.js";

/** Options of `assignTasks`. */
export type AssignTasksOptions = {
    /** Usable workers that match the step's service and required label. */
    readonly workers: readonly WorkerEntry[];
    /** The scope in which the step needs room. */
    readonly scope: PlacementScope;
    /** How fast the workers have to be; without a limit, their speeds do not matter. */
    readonly limit: RunTimeLimit | undefined;
};

/**
 * Chooses workers for the tasks of a step.
 *
 * @param step - The step.
 * @param waiting - Waiting tasks of the step; all of its tasks if it is a gang.
 * @param options - The workers, and what the step needs of them.
 * @returns An assignment for each task that fits; for a gang, for all or for none.
 */
export function assignTasks(
    step: StepEntry,
    waiting: readonly TaskEntry[],
    { workers, scope, limit }: AssignTasksOptions,
): readonly Assignment[] {
    switch (scope) {
        case "task":
            return placeTasks(step, waiting, workers, limit);
        case "rack":
            return placeGang(step, workers, true, limit) ?? [];
        case "fleet":
            return placeGang(step, workers, false, limit) ?? [];
    }
}
