import { memoize } from "../../_lib/memoize.js";
import type { ReclaimPlan } from "../../placement/planReclaim.js";
import { planReclaim } from "../../placement/planReclaim.js";
import { getSlowestBandWithin, getSpeedBand } from "../../placement/speedBands.js";
import type { JobEntry, Run, StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { mayStopRun } from "../runs/mayStopRun.js";
import { stopRun } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";
import { computePreemptionCost } from "./computePreemptionCost.js";
import { computeRunTimeLimit } from "./computeRunTimeLimit.js";
import { createEndAwaiter } from "./createEndAwaiter.js";
import type { RankedJob } from "./orderJobs.js";

/** Where a step may be placed, and how many of its tasks wait. */
export type PreemptionTarget = {
    /** The step's job, which is guaranteed. */
    readonly ranked: RankedJob;
    /** Jobs covered by their customers' guarantees, whose runs are not stopped. */
    readonly entitled: ReadonlySet<JobEntry>;
    /** Eligible workers that are not reserved for another step. */
    readonly workers: readonly WorkerEntry[];
    /** Number of tasks that did not fit. */
    readonly taskCount: number;
};

/**
 * Preempts runs of jobs that are not guaranteed, so that a guaranteed step fits. Runs that end by themselves within
 * the slack of the step are awaited instead. Workers on which the step ends in time come first, then the cheapest runs.
 *
 * @param scheduler - The scheduler.
 * @param step - The step.
 * @param target - Where the step may be placed.
 * @returns The workers to keep free for the step; none if preemption cannot make it fit.
 */
export function preemptForStep(
    scheduler: Scheduler,
    step: StepEntry,
    { ranked, entitled, workers, taskCount }: PreemptionTarget,
): readonly WorkerEntry[] {
    const now = scheduler.clock();
    const forecast = memoize(scheduler.runTimePredictor.forecast);
    const awaitEnd = createEndAwaiter(scheduler, ranked, step);
    const limit = computeRunTimeLimit(scheduler, ranked, step, workers);
    const plan = planReclaim(step, workers, {
        costOf: run =>
            awaitEnd(run) ?? (entitled.has(run.task.step.job)
                ? undefined
                : computePreemptionCost(run, { forecast: forecast(run.task.step), now })),
        tierOf: worker => Math.max(0, getSpeedBand(worker, limit) - getSlowestBandWithin(limit)),
        taskCount,
    });
    if (plan === undefined) {
        return [];
    }
    const victims = plan.victims.filter(run =>
        awaitEnd(run) === undefined && !entitled.has(run.task.step.job)
    );
    stopVictims(scheduler, step, plan, victims);
    return plan.workers;
}

function stopVictims(
    scheduler: Scheduler,
    step: StepEntry,
    plan: ReclaimPlan,
    victims: readonly Run[],
): void {
    if (victims.length > 0) {
        scheduler.log.info("Runs are stopped for a step.", {
            job: step.job.id,
            step: step.number,
            victims: victims.length,
            awaited: plan.victims.length - victims.length,
            cost: Math.round(plan.cost),
            workers: plan.workers.length,
        });
    }
    victims.filter(mayStopRun).forEach(run => stopRun(scheduler, run, "preempted"));
}
