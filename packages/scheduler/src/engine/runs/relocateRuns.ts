import { getExpectedRelativeRunTime } from "../../state/getExpectedRelativeRunTime.js";
import type { Run } from "../../state/JobEntry.js";
import { listRunsEndingTogether } from "../../state/listRunsEndingTogether.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { pauseWorker } from "../fleet/pauseWorker.js";
import type { Scheduler } from "../Scheduler.js";
import { stopRun } from "./stopRun.js";

/** Time without progress after which a run counts as stalled, in milliseconds. */
const STALL_TIMEOUT_MS = 4_000;

/** Progress of a run that has done its work, in percent. */
const DONE_PERCENT = 100;

/** Progress below which the remaining time cannot be extrapolated from it, in percent. */
const MIN_PROGRESS_PERCENT = 5;

/** Time before a worker leaves at which its runs with checkpoints are stopped, in milliseconds. */
const FINAL_CHECKPOINT_MS = 1_200;

/**
 * Stops runs of a worker that have stalled or cannot end before the worker leaves, so that their tasks continue
 * on other workers.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which has just answered a hold.
 */
export function relocateRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    const now = scheduler.clock();
    for (const run of worker.runs) {
        if (run.phase !== "running") {
            continue;
        }
        if (isStalled(run, now)) {
            run.task.avoidedWorkers.add(worker.id);
            pauseWorker(scheduler, worker);
            stopRun(scheduler, run, "stalled");
        }
        else if (worker.draining && mustLeaveWorker(scheduler, run, worker, now)) {
            stopRun(scheduler, run, "worker-leaves");
        }
    }
}

/**
 * Returns whether a run has stalled. The members of a gang make no progress until the last one has started, and a
 * member that has done its work waits for the others.
 */
function isStalled(run: Run, now: number): boolean {
    const { step } = run.task;
    const members = listRunsEndingTogether(run);
    const allMembersRun = !step.spec.gang || members.length === step.tasks.length;
    const waitsForMembers = step.spec.gang && run.percent >= DONE_PERCENT;
    const lastConfirmedAt = Math.max(...members.map(member => member.confirmedAt));
    return allMembersRun && !waitsForMembers && !step.spec.lasting && run.pacePercent === 100
        && now - Math.max(run.progressedAt, lastConfirmedAt) > STALL_TIMEOUT_MS;
}

/** Returns whether a run is stopped because its worker leaves before the run ends. */
function mustLeaveWorker(scheduler: Scheduler, run: Run, worker: WorkerEntry, now: number): boolean {
    const { spec } = run.task.step;
    const remainingStayMs = worker.earliestLeaveAt - now;
    if (spec.lasting) {
        return true;
    }
    const elapsedMs = now - run.confirmedAt;
    const { medianMs } = scheduler.runTimePredictor.forecast(run.task.step);
    const expectedRemainingMs = medianMs * getExpectedRelativeRunTime(worker, run.confirmedAt) - elapsedMs;
    const remainingMs = run.percent >= MIN_PROGRESS_PERCENT && run.coversWholeTask
        ? elapsedMs * (100 - run.percent) / run.percent
        : Math.max(0, expectedRemainingMs);
    return remainingMs > remainingStayMs && (!spec.checkpoints || remainingStayMs < FINAL_CHECKPOINT_MS);
}
