import type { Resources, Step } from "@balsamward/schema/scheduling";

/**
 * Adds what a task of a step takes up to resources, or takes it away.
 *
 * @param resources - The resources, which are changed.
 * @param step - The step; one that fills idle capacity takes up no processors.
 * @param sign - 1 to add, -1 to take away.
 */
export function applyTaskRequest(resources: Resources, { request, fillsIdle }: Step, sign: 1 | -1): void {
    resources.cpuMillis += fillsIdle ? 0 : sign * (request?.cpuMillis ?? 0);
    resources.memoryMb += sign * (request?.memoryMb ?? 0);
    resources.accelerators += sign * (request?.accelerators ?? 0);
}
