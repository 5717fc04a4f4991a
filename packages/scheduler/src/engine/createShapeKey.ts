import type { Queue } from "../FleetConfiguration.js";
import type { StepEntry } from "../state/JobEntry.js";

/**
 * Describes what decides where a step fits: steps of one shape find room on the same workers.
 *
 * @param queue - The queue of the step's job.
 * @param step - The step.
 * @returns A text that steps of the same shape share.
 */
export function createShapeKey(queue: Queue, step: StepEntry): string {
    const { request, requiredLabel, gang, sameRack, taskCount, maxPerWorker, fillsIdle } = step.spec;
    return [
        queue.service,
        requiredLabel,
        request?.cpuMillis,
        request?.memoryMb,
        request?.accelerators,
        fillsIdle,
        gang ? `${sameRack}/${taskCount}` : "",
        maxPerWorker > 0 || queue.advice !== undefined
            ? `${step.job.id}/${step.occurrence}/${step.number}`
            : "",
    ].join("|");
}
