import type { Step } from "@balsamward/schema/scheduling";
import type { PlacementScope } from "./createUnplacedSteps.js";
import type { WorkerGroup } from "./createWorkerGroups.js";

/**
 * Returns what has to be free for a step. A gang that runs slower across racks is spread over them only if no rack
 * could hold it even when empty.
 *
 * @param group - The workers that match the step's service and required label.
 * @param step - The step.
 * @returns The scope in which the step needs room.
 */
export function getPlacementScope(group: WorkerGroup, step: Step): PlacementScope {
    if (!step.gang) {
        return "task";
    }
    return step.sameRack && group.fitsEmptyRack(step) ? "rack" : "fleet";
}
