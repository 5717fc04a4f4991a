import type { JobEntry, StepEntry } from "./JobEntry.js";

/**
 * Returns the steps of a job.
 *
 * @param entry - The job.
 * @returns The steps of all occurrences that are known so far.
 */
export function listSteps(entry: JobEntry): readonly StepEntry[] {
    return [...entry.occurrences.values()].flat();
}
