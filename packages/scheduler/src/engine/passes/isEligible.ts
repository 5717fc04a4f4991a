import type { QueueTerms } from "../../FleetConfiguration.js";
import type { StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";

/**
 * Returns whether a worker belongs to the service of a job and has the label that a step requires.
 *
 * @param worker - The worker.
 * @param terms - The terms that apply to the job of the step.
 * @param step - The step.
 * @returns True if the worker can run the step, regardless of its free capacity.
 */
export function isEligible(worker: WorkerEntry, terms: QueueTerms, step: StepEntry): boolean {
    const { requiredLabel } = step.spec;
    return worker.service === terms.service
        && (requiredLabel === "" || worker.labels.includes(requiredLabel));
}
