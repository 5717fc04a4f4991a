import type { Resources, Step } from "@balsamward/schema/scheduling";
import { RESOURCE_KINDS } from "./measureCapacity.js";

/**
 * Returns how often a whole step would fit into free resources if these lay on one worker.
 *
 * @param free - The resources.
 * @param step - The step.
 * @returns The least multiple over all resources.
 */
export function countFits(free: Resources, { request, taskCount }: Step): number {
    return Math.min(...RESOURCE_KINDS.map(kind => {
        const needed = (request?.[kind] ?? 0) * taskCount;
        return needed > 0 ? free[kind] / needed : Number.POSITIVE_INFINITY;
    }));
}
