import type { Step } from "@balsamward/schema/scheduling";
import type { ResourceAmounts } from "../state/ResourceAmounts.js";

/**
 * Adds the resource request of one task to an amount of resources, or subtracts it.
 *
 * @param resources - The resources, which are modified in place.
 * @param step - The step of the task; a step that fills idle capacity counts with no CPU.
 * @param sign - 1 to add, -1 to subtract.
 */
export function applyTaskRequest(
    resources: ResourceAmounts,
    { request, fillsIdle }: Step,
    sign: 1 | -1,
): void {
    resources.cpuMillis += fillsIdle ? 0 : sign * (request?.cpuMillis ?? 0);
    resources.memoryMb += sign * (request?.memoryMb ?? 0);
    resources.accelerators += sign * (request?.accelerators ?? 0);
}
