import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { captureRuns } from "./LostRuns.js";

/** Time for which the runs of a silent worker are remembered, in milliseconds; a crashed worker is back sooner. */
const LOST_RUNS_RETENTION_MS = 120_000;

/**
 * Remembers the runs of a worker that are about to be released without its report. Whether it has crashed is not known
 * yet: only a new incarnation of it shows that.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which still has its runs.
 */
export function rememberLostRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    const now = scheduler.clock();
    const recent = scheduler.lostRuns.filter(({ lostAt }) => now - lostAt < LOST_RUNS_RETENTION_MS);
    const lost = captureRuns(worker, now);
    worker.runs.forEach(run => run.hasUnknownEnd = true);
    scheduler.lostRuns = lost.runs.length > 0 ? [...recent, lost] : recent;
}
