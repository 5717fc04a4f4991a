import { planReclaim } from "../placement/planReclaim.js";
import type { Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { RankedJob } from "./orderJobs.js";
import type { Scheduler } from "./Scheduler.js";

/** Longest time for which workers are kept free for a gang, in milliseconds. */
const MAX_HOLD_AHEAD_MS = 3_000;

/**
 * Finds workers that will soon have room for a gang, by the ends that are expected there.
 *
 * @param scheduler - The scheduler.
 * @param ranked - The gang's job, which is on time.
 * @param step - The gang.
 * @param workers - Suited workers that no other step holds.
 * @returns The workers to keep free; none if the room comes too late.
 */
export function holdFor(
    scheduler: Scheduler,
    ranked: RankedJob,
    step: StepEntry,
    workers: readonly WorkerEntry[],
): readonly WorkerEntry[] {
    const now = scheduler.clock();
    const { times, entry } = ranked;
    const slackMs = times.objectiveMs - times.remainingChainMs - (now - entry.acceptedAt);
    const limitMs = Math.min(MAX_HOLD_AHEAD_MS, slackMs);
    const remainingMs = (run: Run): number | undefined => {
        const { job, spec } = run.task.step;
        const leftMs = Math.max(
            0,
            scheduler.runTimes.predict(job.queue, spec.estimatedMs) - (now - run.confirmedAt),
        );
        return leftMs <= limitMs && !spec.lasting ? leftMs : undefined;
    };
    return planReclaim(step, workers, { costOf: remainingMs, taskCount: step.tasks.length })?.workers ?? [];
}
