import type { Queue } from "../FleetConfiguration.js";
import type { JobEntry, StepEntry } from "../state/JobEntry.js";
import type { RunTimePredictor } from "./createRunTimePredictor.js";

/** Multiple of the objective up to which a late job still counts. */
export const LATE_FACTOR = 3;

/** Cores that an accelerator counts as when work is compared. */
const CORES_PER_ACCELERATOR = 8;

/** Expected times of a job. */
export type JobTimes = {
    /** Longest chain of all its work in milliseconds. */
    readonly criticalPathMs: number;
    /** Longest chain of the work that is left in milliseconds. */
    readonly remainingCriticalPathMs: number;
    /** Work that is left in core-milliseconds. */
    readonly remainingWorkCoreMs: number;
    /** Time from acceptance within which the job should end, in milliseconds. */
    readonly objectiveMs: number;
};

/**
 * Expects how long a job takes.
 *
 * @param entry - The job.
 * @param queue - Its queue.
 * @param predictor - Learnt run times.
 * @returns The job's times, over its occurrence that is not done.
 */
export function estimateJobTimes(entry: JobEntry, queue: Queue, predictor: RunTimePredictor): JobTimes {
    let criticalPathMs = 0;
    let remainingCriticalPathMs = 0;
    let remainingWorkCoreMs = 0;
    for (const steps of entry.occurrences.values()) {
        const pathsMs: number[] = [];
        const remainingPathsMs: number[] = [];
        for (const step of steps) {
            const runMs = predictor.predict(queue.name, step.spec.estimatedMs);
            const unfinished = step.tasks.length - step.doneCount;
            pathsMs.push(runMs + longestPredecessorMs(step, pathsMs));
            remainingPathsMs.push(
                (unfinished > 0 ? runMs : 0) + longestPredecessorMs(step, remainingPathsMs),
            );
            remainingWorkCoreMs += unfinished * runMs * coreEquivalentOf(step);
        }
        criticalPathMs = Math.max(criticalPathMs, ...pathsMs);
        remainingCriticalPathMs = Math.max(remainingCriticalPathMs, ...remainingPathsMs);
    }
    const objectiveMs = queue.stretch * criticalPathMs + queue.objectiveMs;
    return { criticalPathMs, remainingCriticalPathMs, remainingWorkCoreMs, objectiveMs };
}

/**
 * Returns how much of the fleet a task of a step takes up, in cores.
 *
 * @param step - The step.
 * @returns The cores, with each accelerator counted as several.
 */
export function coreEquivalentOf(step: StepEntry): number {
    const { request } = step.spec;
    return (request?.accelerators ?? 0) * CORES_PER_ACCELERATOR + (request?.cpuMillis ?? 0) / 1_000;
}

function longestPredecessorMs(step: StepEntry, times: readonly number[]): number {
    return step.spec.after.reduce((most, number) => Math.max(most, times[number] ?? 0), 0);
}
