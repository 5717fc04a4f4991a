import type { StepEntry, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Assignment } from "./countFittingTasks.js";
import type { PlacementScope } from "./createUnplacedSteps.js";
import { placeGang } from "./placeGang.js";
import { placeTasks } from "./placeTasks.js";

/**
 * Chooses workers for the tasks of a step.
 *
 * @param step - The step.
 * @param waiting - Waiting tasks of the step; all of its tasks if it is a gang.
 * @param workers - Usable workers that match the step's service and required label.
 * @param scope - The scope in which the step needs room.
 * @returns An assignment for each task that fits; for a gang, for all or for none.
 */
export function assignTasks(
    step: StepEntry,
    waiting: readonly TaskEntry[],
    workers: readonly WorkerEntry[],
    scope: PlacementScope,
): readonly Assignment[] {
    switch (scope) {
        case "task":
            return placeTasks(step, waiting, workers);
        case "rack":
            return placeGang(step, workers, true) ?? [];
        case "fleet":
            return placeGang(step, workers, false) ?? [];
    }
}
