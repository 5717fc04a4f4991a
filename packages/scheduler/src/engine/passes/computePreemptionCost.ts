import type { Run } from "../../state/JobEntry.js";
import { listRunsEndingTogether } from "../../state/listRunsEndingTogether.js";
import { getCoreEquivalent } from "./estimateJobTimes.js";
import type { EstimateRemainingOptions } from "./estimateRemainingMs.js";
import { estimateUnitRemainingMs } from "./estimateRemainingMs.js";

/** Cost of a stop in addition to the lost work, in core-milliseconds; it favours stopping few runs. */
const STOP_COST_CORE_MS = 2_000;

/** Assumed run time between two checkpoints, in milliseconds; with a shorter one, a stopped run loses less. */
const CHECKPOINT_INTERVAL_MS = 2_000;

/**
 * Computes the cost of stopping a run.
 *
 * The cost is the work since the last checkpoint, of all members if the run belongs to a gang. It rises up to twofold
 * with the share of its time that the run has behind it, since the stop of a run that is near its end gains little
 * room for the work that is lost.
 *
 * @param run - The run.
 * @param options - The forecast of the run's time, and the time.
 * @returns The cost in core-milliseconds.
 */
export function computePreemptionCost(run: Run, options: EstimateRemainingOptions): number {
    const { step } = run.task;
    const runs = listRunsEndingTogether(run);
    const lostMs = runs.reduce((sum, { confirmedAt }) => {
        const elapsedMs = options.now - confirmedAt;
        return sum + (step.spec.checkpoints ? elapsedMs % CHECKPOINT_INTERVAL_MS : elapsedMs);
    }, 0);
    const elapsedMs = options.now - run.confirmedAt;
    const remainingMs = estimateUnitRemainingMs(run, options);
    const doneShare = remainingMs === undefined ? 0 : elapsedMs / Math.max(1, elapsedMs + remainingMs);
    return lostMs * getCoreEquivalent(step) * (1 + doneShare) + STOP_COST_CORE_MS;
}
