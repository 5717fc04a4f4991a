import type { RunTimePredictor } from "../../runTimes/RunTimePredictor.js";
import type { StepEntry } from "../../state/JobEntry.js";

/**
 * Returns the longest path from the start of a step through the steps after it.
 *
 * @param step - The step.
 * @param predictor - Predictor of task run times.
 * @returns The length of the path in milliseconds on typical workers.
 */
export function estimatePathMs(step: StepEntry, predictor: Pick<RunTimePredictor, "forecast">): number {
    const steps = step.job.occurrences.get(step.occurrence) ?? [];
    const pathsMs = new Map([[step.number, predictor.forecast(step).medianMs]]);
    // Steps come after steps with lower numbers only.
    for (const later of steps.slice(step.number + 1)) {
        const earlierMs = later.spec.after.flatMap(number => pathsMs.get(number) ?? []);
        if (earlierMs.length > 0) {
            pathsMs.set(later.number, Math.max(...earlierMs) + predictor.forecast(later).medianMs);
        }
    }
    return Math.max(...pathsMs.values());
}
