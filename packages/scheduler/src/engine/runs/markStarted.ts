import { JobState } from "@balsamward/schema/scheduling";
import type { JobEntry } from "../../state/JobEntry.js";

/**
 * Marks a job as started, since a worker has listed a run of it or the end of one. An earlier owner may have ordered
 * the run without storing any progress.
 *
 * @param entry - The job; one that is running or has ended keeps its state.
 */
export function markStarted(entry: JobEntry): void {
    entry.hasStarted = true;
    if (entry.state === JobState.QUEUED) {
        entry.state = JobState.RUNNING;
    }
}
