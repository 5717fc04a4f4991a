import type { Step } from "@balsamward/schema/scheduling";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { countFittingTasksIn } from "./countFittingTasks.js";

/**
 * Returns whether workers, each counted by itself, have room for a whole step several times over.
 *
 * @param workers - Workers that match the step's service and required label.
 * @param step - The step.
 * @param times - Number of times that the step has to fit.
 * @returns True if so many tasks fit; the step's limit per worker counts for all of its copies together.
 */
export function hasRoomFor(workers: readonly WorkerEntry[], step: Step, times: number): boolean {
    const taskCount = step.taskCount * times;
    const copies = { ...step, taskCount };
    let slots = 0;
    return workers.some(worker => {
        slots += countFittingTasksIn(worker.free, copies, 0);
        return slots >= taskCount;
    });
}
