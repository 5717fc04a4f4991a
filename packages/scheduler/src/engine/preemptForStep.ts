import { planReclaim } from "../placement/planReclaim.js";
import type { JobEntry, Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { coreEquivalentOf } from "./jobTimes.js";
import { mayStopRun } from "./mayStopRun.js";
import type { Scheduler } from "./Scheduler.js";
import { stopRun } from "./stopRun.js";

/** Where a step may be placed, and how much of it waits. */
export type PreemptionTarget = {
    /** Jobs within their customers' guarantees, whose runs are not stopped. */
    readonly entitled: ReadonlySet<JobEntry>;
    /** Suited workers that no other step holds. */
    readonly workers: readonly WorkerEntry[];
    /** Tasks that found no room. */
    readonly taskCount: number;
};

/** Loss that a stop counts as beside the work, in core-milliseconds, so that few runs are stopped. */
const STOP_COST_CORE_MS = 2_000;

/** Work between two checkpoints in milliseconds. */
const CHECKPOINT_INTERVAL_MS = 2_000;

/**
 * Stops runs that are not guaranteed so that a guaranteed step fits.
 *
 * @param scheduler - The scheduler.
 * @param step - The step.
 * @param target - Where it may be placed.
 * @returns The workers that are to be kept free for the step.
 */
export function preemptForStep(
    scheduler: Scheduler,
    step: StepEntry,
    target: PreemptionTarget,
): readonly WorkerEntry[] {
    const costOf = (run: Run): number | undefined =>
        target.entitled.has(run.task.step.job) ? undefined : preemptionCost(run, scheduler.clock());
    const plan = planReclaim(step, target.workers, { costOf, taskCount: target.taskCount });
    if (plan === undefined) {
        return [];
    }
    if (plan.victims.length > 0) {
        scheduler.log.info("Runs are stopped for a step.", {
            job: step.job.id,
            step: step.number,
            victims: plan.victims.length,
            lostCoreMs: Math.round(plan.cost),
            workers: plan.workers.length,
        });
    }
    plan.victims.filter(mayStopRun).forEach(run => stopRun(scheduler, run, "preempted"));
    return plan.workers;
}

/** Work since the last checkpoint; a gang loses the work of all its members. */
function preemptionCost(run: Run, now: number): number {
    const { step } = run.task;
    const elapsedMs = now - run.confirmedAt;
    const lostMs = step.spec.checkpoints ? Math.min(elapsedMs, CHECKPOINT_INTERVAL_MS) : elapsedMs;
    const memberCount = step.spec.gang ? step.tasks.length : 1;
    return lostMs * coreEquivalentOf(step) * memberCount + STOP_COST_CORE_MS;
}
