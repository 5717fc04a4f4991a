import { JobState } from "@balsamward/schema/scheduling";

/**
 * Returns whether a job state is final.
 *
 * @param state - The job's state.
 * @returns True for completed, failed and cancelled jobs, which never change again.
 */
export function isFinalState(state: JobState): boolean {
    return state === JobState.COMPLETED || state === JobState.FAILED || state === JobState.CANCELLED;
}
