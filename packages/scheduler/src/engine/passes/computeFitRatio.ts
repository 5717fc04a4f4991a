import type { Resources, Step } from "@balsamward/schema/scheduling";
import { RESOURCE_KINDS } from "../../state/ResourceAmounts.js";

/**
 * Computes how many times a whole step would fit into free resources if they were all on one worker.
 *
 * @param free - The free resources.
 * @param step - The step.
 * @returns The ratio of free to needed resources, as the least over all kinds; not rounded.
 */
export function computeFitRatio(free: Resources, { request, taskCount }: Step): number {
    return Math.min(...RESOURCE_KINDS.map(kind => {
        const needed = (request?.[kind] ?? 0) * taskCount;
        return needed > 0 ? free[kind] / needed : Number.POSITIVE_INFINITY;
    }));
}
