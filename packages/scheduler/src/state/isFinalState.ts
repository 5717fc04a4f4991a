import { JobState } from "@balsamward/schema/scheduling";

/**
 * Returns whether a job in a state never changes again.
 *
 * @param state - The state.
 * @returns True for completed, failed and cancelled jobs.
 */
export function isFinalState(state: JobState): boolean {
    return state === JobState.COMPLETED || state === JobState.FAILED || state === JobState.CANCELLED;
}
