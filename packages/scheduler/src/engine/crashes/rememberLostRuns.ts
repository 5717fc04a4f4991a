import type { Run } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import type { LostRuns } from "./LostRuns.js";
import { captureRuns } from "./LostRuns.js";

/** Time for which the runs of a silent worker are remembered, in milliseconds; a crashed worker is back sooner. */
const LOST_RUNS_RETENTION_MS = 120_000;

/**
 * Remembers runs of a worker that are about to be released without its report. Whether it has crashed is not known yet:
 * only a new incarnation of it shows that. The runs of one incarnation are remembered together, as lost in one crash.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which still has the runs.
 * @param runs - The runs.
 */
export function rememberLostRuns(scheduler: Scheduler, worker: WorkerEntry, runs: Iterable<Run>): void {
    const now = scheduler.clock();
    const lost = captureRuns(worker, runs, now);
    const recent = scheduler.lostRuns.filter(({ lostAt }) => now - lostAt < LOST_RUNS_RETENTION_MS);
    const earlier = recent.filter(other => isSameIncarnation(other, lost));
    for (const run of runs) {
        run.hasUnknownEnd = true;
    }
    if (lost.runs.length > 0) {
        const together = { ...lost, runs: [...earlier.flatMap(other => other.runs), ...lost.runs] };
        scheduler.lostRuns = [...recent.filter(other => !earlier.includes(other)), together];
    }
    else {
        scheduler.lostRuns = recent;
    }
}

function isSameIncarnation(left: LostRuns, right: LostRuns): boolean {
    return left.worker === right.worker && left.machine === right.machine && left.bornMs === right.bornMs;
}
