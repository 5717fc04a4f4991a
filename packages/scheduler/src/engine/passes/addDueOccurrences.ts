import { getOrAddOccurrence } from "../../state/createJobEntry.js";
import type { JobEntry } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Adds the occurrences of a scheduled job that are due.
 *
 * @param scheduler - The scheduler.
 * @param entry - The job; one without a schedule stays unchanged.
 */
export function addDueOccurrences(scheduler: Scheduler, entry: JobEntry): void {
    const { schedule } = entry.job;
    if (schedule === undefined) {
        return;
    }
    const now = scheduler.wallClock();
    for (let occurrence = 0; occurrence < schedule.times; occurrence++) {
        if (schedule.firstRunMs + occurrence * schedule.intervalMs > now) {
            return;
        }
        getOrAddOccurrence(entry, occurrence);
    }
}
