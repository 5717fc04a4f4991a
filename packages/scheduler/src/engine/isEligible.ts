import type { Queue } from "../FleetConfiguration.js";
import type { StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/**
 * Returns whether a worker may run a step: it belongs to the queue's service and has the step's label.
 *
 * @param worker - The worker.
 * @param queue - The queue of the step's job.
 * @param step - The step.
 * @returns True whatever runs on the worker now.
 */
export function isEligible(worker: WorkerEntry, queue: Queue, step: StepEntry): boolean {
    const { requiredLabel } = step.spec;
    return worker.service === queue.service
        && (requiredLabel === "" || worker.labels.includes(requiredLabel));
}
