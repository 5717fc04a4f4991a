import { planReclaim } from "../placement/planReclaim.js";
import type { Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { RankedJob } from "./orderJobs.js";
import type { Scheduler } from "./Scheduler.js";

/** Longest time for which workers are kept free for a gang, in milliseconds. */
const MAX_RESERVATION_MS = 3_000;

/**
 * Finds workers that will soon have room for a step, by the ends that are expected there.
 *
 * @param scheduler - The scheduler.
 * @param ranked - The step's job; one that is on time does not wait beyond its objective, one that is
 * starved waits as long as it takes.
 * @param step - The step, of which a gang is placed as a whole and any other task by task.
 * @param workers - Suited workers that no other step holds.
 * @returns The workers to keep free; none if the room comes too late.
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
        const { job, spec } = run.task.step;
        const expectedMs = Math.max(
            0,
            scheduler.runTimePredictor.predict(job.queue, spec.estimatedMs) - (now - run.confirmedAt),
        );
        return expectedMs <= limitMs && !spec.lasting ? expectedMs : undefined;
    };
    const taskCount = step.spec.gang ? step.tasks.length : 1;
    return planReclaim(step, workers, { costOf: expectedRemainingMs, taskCount })?.workers ?? [];
}
