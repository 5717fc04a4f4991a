import type { QueueTerms } from "../../FleetConfiguration.js";
import type { RunTimePredictor } from "../../runTimes/RunTimePredictor.js";
import type { JobEntry, StepEntry } from "../../state/JobEntry.js";

/** Multiple of its objective up to which a late job is still placed before the jobs that are too late. */
export const LATE_FACTOR = 3;

/** Number of cores that an accelerator counts as when amounts of work are compared. */
const CORES_PER_ACCELERATOR = 8;

/** Estimated times of a job. */
export type JobTimes = {
    /** Critical path through all steps in milliseconds. */
    readonly criticalPathMs: number;
    /** Critical path through the remaining steps in milliseconds. */
    readonly remainingCriticalPathMs: number;
    /** Remaining work in core-milliseconds. */
    readonly remainingWorkCoreMs: number;
    /** Target for the time from acceptance to the end of the job, in milliseconds. */
    readonly objectiveMs: number;
};

/**
 * Estimates how long a job takes.
 *
 * @param entry - The job.
 * @param terms - The terms that apply to the job.
 * @param predictor - Predictor of task run times.
 * @returns The job's times. The paths are the longest over all known occurrences, the remaining work is their sum.
 */
export function estimateJobTimes(entry: JobEntry, terms: QueueTerms, predictor: RunTimePredictor): JobTimes {
    let criticalPathMs = 0;
    let remainingCriticalPathMs = 0;
    let remainingWorkCoreMs = 0;
    for (const steps of entry.occurrences.values()) {
        const pathsMs: number[] = [];
        const remainingPathsMs: number[] = [];
        for (const step of steps) {
            const runMs = predictor.forecast(step).medianMs;
            const unfinished = step.tasks.length - step.doneCount;
            pathsMs.push(runMs + findLongestPredecessorMs(step, pathsMs));
            remainingPathsMs.push(
                (unfinished > 0 ? runMs : 0) + findLongestPredecessorMs(step, remainingPathsMs),
            );
            remainingWorkCoreMs += unfinished * runMs * getCoreEquivalent(step);
        }
        criticalPathMs = Math.max(criticalPathMs, ...pathsMs);
        remainingCriticalPathMs = Math.max(remainingCriticalPathMs, ...remainingPathsMs);
    }
    const objectiveMs = terms.stretch * criticalPathMs + terms.objectiveMs;
    return { criticalPathMs, remainingCriticalPathMs, remainingWorkCoreMs, objectiveMs };
}

/**
 * Returns the resources of one task of a step as an equivalent number of cores.
 *
 * @param step - The step.
 * @returns The number of cores, with each accelerator counted as several cores.
 */
export function getCoreEquivalent(step: StepEntry): number {
    const { request } = step.spec;
    return (request?.accelerators ?? 0) * CORES_PER_ACCELERATOR + (request?.cpuMillis ?? 0) / 1_000;
}

function findLongestPredecessorMs(step: StepEntry, pathsMs: readonly number[]): number {
    return step.spec.after.reduce((most, number) => Math.max(most, pathsMs[number] ?? 0), 0);
}
