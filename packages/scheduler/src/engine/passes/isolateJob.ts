import type { JobEntry } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Runs an action for one job. An unexpected error is logged and affects this job only: every owner would meet it again,
 * and without the isolation none would place any job.
 *
 * @param scheduler - The scheduler.
 * @param entry - The job.
 * @param action - The action.
 */
export function isolateJob(scheduler: Scheduler, entry: JobEntry, action: () => void): void {
    try {
        action();
    }
    catch (error) {
        scheduler.log.error("A job is passed over because of an unexpected error.", {
            job: entry.id,
            error: String((error as Error).stack),
        });
    }
}
