import { planReclaim } from "../../placement/planReclaim.js";
import { getExpectedRelativeRunTime } from "../../state/getExpectedRelativeRunTime.js";
import type { Run, StepEntry } from "../../state/JobEntry.js";
import { listRunsEndingTogether } from "../../state/listRunsEndingTogether.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import type { RankedJob } from "./orderJobs.js";

/** Longest time for which workers are kept free for a gang that is on time, in milliseconds. */
const MAX_RESERVATION_MS = 3_000;

/**
 * Finds workers that will soon have enough free capacity for a step, from the expected ends of their runs.
 *
 * @param scheduler - The scheduler.
 * @param ranked - The step's job. One that is on time waits no longer than its objective allows, and at most
 * `MAX_RESERVATION_MS`; a starved one waits without limit.
 * @param step - The step. A gang needs capacity for all of its tasks, any other step for one task.
 * @param workers - Eligible workers that are not reserved for another step.
 * @returns The workers to keep free; none if the capacity becomes free too late.
 */
export function findWorkersToReserve(
    scheduler: Scheduler,
    ranked: RankedJob,
    step: StepEntry,
    workers: readonly WorkerEntry[],
): readonly WorkerEntry[] {
    const now = scheduler.clock();
    const { times, entry } = ranked;
    const slackMs = times.objectiveMs - times.remainingCriticalPathMs - (now - entry.acceptedAt);
    const limitMs = ranked.schedulingClass === "starved"
        ? Number.POSITIVE_INFINITY
        : Math.min(MAX_RESERVATION_MS, slackMs);
    const expectedRemainingMs = (run: Run): number | undefined => {
        const runStep = run.task.step;
        const { medianMs } = scheduler.runTimePredictor.forecast(runStep);
        const remainingMs = listRunsEndingTogether(run).map(({ worker, confirmedAt }) =>
            medianMs * getExpectedRelativeRunTime(worker, confirmedAt) - (now - confirmedAt)
        );
        const expectedMs = Math.max(0, ...remainingMs);
        return expectedMs <= limitMs && !runStep.spec.lasting ? expectedMs : undefined;
    };
    const taskCount = step.spec.gang ? step.tasks.length : 1;
    return planReclaim(step, workers, { costOf: expectedRemainingMs, taskCount })?.workers ?? [];
}
