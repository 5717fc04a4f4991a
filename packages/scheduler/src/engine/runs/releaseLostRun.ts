import type { Run } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { releaseRun } from "./runs.js";
import { stopGang } from "./stopRun.js";

/**
 * Releases a run whose end its worker has not reported.
 *
 * @param scheduler - The scheduler.
 * @param run - The run.
 * @param reason - Why the run is known to have ended, for the log.
 */
export function releaseLostRun(scheduler: Scheduler, run: Run, reason: string): void {
    scheduler.log.info("A run has ended without a report from its worker.", {
        ...run.task.name,
        run: run.number,
        worker: run.worker.id,
        bornMs: run.worker.bornMs,
        phase: run.phase,
        isConfirmed: run.isConfirmed,
        sinceOrderedMs: Math.round(scheduler.clock() - run.orderedAt),
        sinceAnsweredMs: Math.round(scheduler.clock() - run.worker.lastAnswerAt),
        reason,
    });
    releaseRun(run);
    if (run.task.step.spec.gang) {
        stopGang(scheduler, run.task.step, run.number);
    }
    scheduler.requestPass();
}
