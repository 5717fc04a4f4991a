import type { Queue } from "../FleetConfiguration.js";
import type { StepEntry } from "../state/JobEntry.js";

/**
 * Creates a key from the properties that decide where a step fits: steps with the same key fit on the same
 * workers.
 *
 * @param queue - The queue of the step's job.
 * @param step - The step.
 * @returns The key of the step's shape.
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
