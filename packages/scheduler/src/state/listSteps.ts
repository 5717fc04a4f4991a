import type { JobEntry, StepEntry } from "./JobEntry.js";

/**
 * Lists the steps of a job.
 *
 * @param entry - The job.
 * @returns The steps of all occurrences added so far.
 */
export function listSteps(entry: JobEntry): readonly StepEntry[] {
    return [...entry.occurrences.values()].flat();
}
