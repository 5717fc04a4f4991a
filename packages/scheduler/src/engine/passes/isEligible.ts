import type { Queue } from "../../FleetConfiguration.js";
import type { StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";

/**
 * Returns whether a worker belongs to the queue's service and has the label that a step requires.
 *
 * @param worker - The worker.
 * @param queue - The queue of the step's job.
 * @param step - The step.
 * @returns True if the worker can run the step, regardless of its free capacity.
 */
export function isEligible(worker: WorkerEntry, queue: Queue, step: StepEntry): boolean {
    const { requiredLabel } = step.spec;
    return worker.service === queue.service
        && (requiredLabel === "" || worker.labels.includes(requiredLabel));
}
