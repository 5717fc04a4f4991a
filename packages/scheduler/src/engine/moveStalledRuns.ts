import type { Run } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Scheduler } from "./Scheduler.js";
import { pauseWorker } from "./startRun.js";
import { stopRun } from "./stopRun.js";

/** Time without progress after which a run counts as stalled, in milliseconds. */
const STALL_MS = 4_000;

/** Share of progress below which the time left cannot be told from it, in percent. */
const MIN_PERCENT = 5;

/** Time before a worker leaves at which runs with checkpoints are stopped there, in milliseconds. */
const LAST_CHECKPOINT_MS = 1_200;

/**
 * Stops runs of a worker that stand still, or that cannot end before the worker leaves, so that they
 * go on elsewhere.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which has just answered.
 */
export function moveStalledRuns(scheduler: Scheduler, worker: WorkerEntry): void {
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
        else if (worker.draining && mustLeave(scheduler, run, worker, now)) {
            stopRun(scheduler, run, "evacuated");
        }
    }
}

/** The members of a gang stand still until the last one is there. */
function isStalled(run: Run, now: number): boolean {
    const { step } = run.task;
    const members = step.spec.gang ? step.tasks.flatMap(task => task.runs) : [run];
    const isWhole = !step.spec.gang || members.length === step.tasks.length;
    const arrivedAt = Math.max(...members.map(member => member.confirmedAt));
    return isWhole && !step.spec.lasting && run.pacePercent === 100
        && now - Math.max(run.progressedAt, arrivedAt) > STALL_MS;
}

function mustLeave(scheduler: Scheduler, run: Run, worker: WorkerEntry, now: number): boolean {
    const { spec, job } = run.task.step;
    const stayMs = worker.earliestLeaveAt - now;
    if (spec.lasting) {
        return true;
    }
    const elapsedMs = now - run.confirmedAt;
    const expectedMs = scheduler.runTimes.predict(job.queue, spec.estimatedMs) - elapsedMs;
    const leftMs = run.percent >= MIN_PERCENT && run.coversWholeTask
        ? elapsedMs * (100 - run.percent) / run.percent
        : Math.max(0, expectedMs);
    return leftMs > stayMs && (!spec.checkpoints || stayMs < LAST_CHECKPOINT_MS);
}
