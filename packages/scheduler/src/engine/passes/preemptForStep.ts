import { planReclaim } from "../../placement/planReclaim.js";
import type { JobEntry, Run, StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { mayStopRun } from "../runs/mayStopRun.js";
import { stopRun } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";
import { getCoreEquivalent } from "./estimateJobTimes.js";

/** Where a step may be placed, and how many of its tasks wait. */
export type PreemptionTarget = {
    /** Jobs covered by their customers' guarantees, whose runs are not stopped. */
    readonly entitled: ReadonlySet<JobEntry>;
    /** Eligible workers that are not reserved for another step. */
    readonly workers: readonly WorkerEntry[];
    /** Number of tasks that did not fit. */
    readonly taskCount: number;
};

/** Cost of a stop in addition to the lost work, in core-milliseconds; it favours stopping few runs. */
const STOP_COST_CORE_MS = 2_000;

/** Run time between two checkpoints in milliseconds, the most that a stopped run loses. */
const CHECKPOINT_INTERVAL_MS = 2_000;

/**
 * Preempts runs of jobs that are not guaranteed, so that a guaranteed step fits.
 *
 * @param scheduler - The scheduler.
 * @param step - The step.
 * @param target - Where the step may be placed.
 * @returns The workers to keep free for the step; none if preemption cannot make it fit.
 */
export function preemptForStep(
    scheduler: Scheduler,
    step: StepEntry,
    target: PreemptionTarget,
): readonly WorkerEntry[] {
    const costOf = (run: Run): number | undefined =>
        target.entitled.has(run.task.step.job) ? undefined : computePreemptionCost(run, scheduler.clock());
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

/**
 * Returns the cost of stopping a run in core-milliseconds, from the work since its last checkpoint. Stopping one
 * member of a gang loses the work of all members.
 */
function computePreemptionCost(run: Run, now: number): number {
    const { step } = run.task;
    const elapsedMs = now - run.confirmedAt;
    const lostMs = step.spec.checkpoints ? Math.min(elapsedMs, CHECKPOINT_INTERVAL_MS) : elapsedMs;
    const memberCount = step.spec.gang ? step.tasks.length : 1;
    return lostMs * getCoreEquivalent(step) * memberCount + STOP_COST_CORE_MS;
}
