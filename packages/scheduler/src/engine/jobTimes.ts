import type { Queue } from "../FleetConfiguration.js";
import type { JobEntry, StepEntry } from "../state/JobEntry.js";
import type { RunTimes } from "./createRunTimes.js";

/** Multiple of the objective up to which a late job still counts. */
export const LATE_FACTOR = 3;

/** Cores that an accelerator counts as when work is compared. */
const CORES_PER_ACCELERATOR = 8;

/** Expected times of a job. */
export type JobTimes = {
    /** Longest chain of all its work in milliseconds. */
    readonly chainMs: number;
    /** Longest chain of the work that is left in milliseconds. */
    readonly remainingChainMs: number;
    /** Work that is left in core-milliseconds. */
    readonly remainingWork: number;
    /** Time from acceptance within which the job should end, in milliseconds. */
    readonly objectiveMs: number;
};

/**
 * Expects how long a job takes.
 *
 * @param entry - The job.
 * @param queue - Its queue.
 * @param runTimes - Learnt run times.
 * @returns The job's times, over its occurrence that is not done.
 */
export function expectTimes(entry: JobEntry, queue: Queue, runTimes: RunTimes): JobTimes {
    let chainMs = 0;
    let remainingChainMs = 0;
    let remainingWork = 0;
    for (const steps of entry.occurrences.values()) {
        const whole: number[] = [];
        const left: number[] = [];
        for (const step of steps) {
            const runMs = runTimes.predict(queue.name, step.spec.estimatedMs);
            const waiting = step.tasks.length - step.doneCount;
            whole.push(runMs + longest(step, whole));
            left.push((waiting > 0 ? runMs : 0) + longest(step, left));
            remainingWork += waiting * runMs * weightOf(step);
        }
        chainMs = Math.max(chainMs, ...whole);
        remainingChainMs = Math.max(remainingChainMs, ...left);
    }
    const objectiveMs = queue.stretch * chainMs + queue.objectiveMs;
    return { chainMs, remainingChainMs, remainingWork, objectiveMs };
}

/**
 * Returns how much of the fleet a task of a step takes up, in cores.
 *
 * @param step - The step.
 * @returns The cores, with each accelerator counted as several.
 */
export function weightOf(step: StepEntry): number {
    const { request } = step.spec;
    return (request?.accelerators ?? 0) * CORES_PER_ACCELERATOR + (request?.cpuMillis ?? 0) / 1_000;
}

function longest(step: StepEntry, times: readonly number[]): number {
    return step.spec.after.reduce((most, number) => Math.max(most, times[number] ?? 0), 0);
}
