import type { StepPrior } from "../../runTimes/StepEvidence.js";
import type { Run, StepEntry } from "../../state/JobEntry.js";
import { getMachineName } from "../fleet/getMachineName.js";
import type { Scheduler } from "../Scheduler.js";
import { isRepresentative } from "./isRepresentative.js";

/** Progress below which its rounding hides the speed of a run, in percent. */
const MIN_PROGRESS_PERCENT = 10;

/** Progress of a run that has done its work, in percent. A gang's member reports it while it waits for the others. */
const DONE_PERCENT = 100;

/** Standard deviation of the rounding of the progress, in percent. */
const ROUNDING_DEVIATION_PERCENT = 0.5;

/** Standard deviations from the median of a normal distribution to its 90th percentile. */
const HIGH_QUANTILE_DEVIATIONS = 1.28;

/**
 * Records the run time that the progress of a running task shows, as evidence of the relative run time of its machine.
 *
 * @param scheduler - The scheduler.
 * @param run - The run, whose progress has just risen.
 * @param now - Monotonic time of the answer that listed the progress, in milliseconds.
 */
export function recordProgress(scheduler: Scheduler, run: Run, now: number): void {
    if (run.percent < MIN_PROGRESS_PERCENT || run.percent >= DONE_PERCENT || run.phase !== "running") {
        return;
    }
    const { step } = run.task;
    const members = listMembers(run);
    if (members.length === countMembers(step) && isRepresentative(run)) {
        const runMs = (now - findBeginning(members)) * DONE_PERCENT / run.percent;
        observeMachine(scheduler, run, {
            runMs,
            variance: (ROUNDING_DEVIATION_PERCENT / run.percent) ** 2,
            now,
        });
    }
}

/**
 * Records the run time of a complete run. The members of a gang end together with the slowest of them: the first end
 * shows the run time of the gang, and the machine of each member is known only by its progress before.
 *
 * @param scheduler - The scheduler.
 * @param run - The run, which its worker has just reported as done and which is not yet released.
 */
export function recordCompleteRun(scheduler: Scheduler, run: Run): void {
    const { task } = run;
    const { step } = task;
    const members = listMembers(run);
    const isFirstEnd = !step.spec.gang || !task.done;
    if (!isFirstEnd || members.length < countMembers(step) || !members.every(isRepresentative)) {
        return;
    }
    const now = scheduler.clock();
    const runMs = now - findBeginning(members);
    if (!step.spec.gang) {
        observeMachine(scheduler, run, { runMs, variance: 0, now });
    }
    const slowest = Math.max(...members.map(({ worker }) => worker.relativeRunTime));
    recordForecastError(scheduler, step, runMs / slowest);
    scheduler.runTimePredictor.observe(step, runMs / slowest, now);
}

type MachineObservation = { readonly runMs: number; readonly variance: number; readonly now: number };

function observeMachine(scheduler: Scheduler, run: Run, { runMs, variance, now }: MachineObservation): void {
    const { task: { step }, worker } = run;
    if (runMs <= 0) {
        return;
    }
    scheduler.relativeRunTimes.observe({
        step,
        run,
        machine: getMachineName(worker),
        logMs: Math.log(runMs),
        variance,
        getPrior: () => getPrior(scheduler, step),
    }, now);
}

function recordForecastError(
    { metrics, runTimePredictor }: Scheduler,
    step: StepEntry,
    typicalMs: number,
): void {
    const { medianMs, highMs } = runTimePredictor.forecast(step);
    const { queue } = step.job;
    if (medianMs > 0) {
        metrics.runTimeErrors.observe({ queue }, typicalMs / medianMs);
        metrics.forecastRuns.inc({ queue, within: String(typicalMs <= highMs) });
    }
}

/** Lists the runs that begin to make progress together: the confirmed members of a run's gang, or the run alone. */
function listMembers(run: Run): readonly Run[] {
    const { step } = run.task;
    return step.spec.gang
        ? step.tasks.flatMap(task => task.runs).filter(member => member.isConfirmed)
        : [run];
}

function countMembers({ spec, tasks }: StepEntry): number {
    return spec.gang ? tasks.length : 1;
}

/** Returns when a run began to make progress: once its last member had started. */
function findBeginning(members: readonly Run[]): number {
    return Math.max(...members.map(member => member.confirmedAt));
}

function getPrior({ runTimePredictor }: Scheduler, step: StepEntry): StepPrior {
    const { medianMs, highMs } = runTimePredictor.forecast(step);
    return medianMs > 0
        ? {
            logMs: Math.log(medianMs),
            variance: (Math.log(highMs / medianMs) / HIGH_QUANTILE_DEVIATIONS) ** 2,
        }
        : { logMs: 0, variance: Number.POSITIVE_INFINITY };
}
