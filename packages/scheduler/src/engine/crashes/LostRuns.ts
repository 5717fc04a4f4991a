import type { WorkerId } from "../../ids.js";
import type { Run, TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { OutcomeUnit } from "./WorkerCrash.js";

/** Time before a start for which the worker may have been silent without notice, in milliseconds. */
const MAX_UNNOTICED_SILENCE_MS = 2_000;

/** A run of an incarnation of a worker that may have crashed. */
export type LostRun = {
    readonly task: TaskEntry;
    readonly number: number;
    /** The run; `undefined` if an earlier owner started it. */
    readonly run: Run | undefined;
    /**
     * Whether a crash under the run counts: its start may have arrived, and its worker had not both confirmed it and
     * answered a stop.
     */
    readonly isCountable: boolean;
    /** Whether the worker had confirmed the run; for one of an earlier owner, whether it was to run nothing else. */
    readonly isConfirmed: boolean;
    /** Time for which the run was known to have lasted, in milliseconds. */
    readonly ageMs: number;
};

/** The runs of an incarnation of a worker that may have crashed. */
export type LostRuns = {
    readonly worker: WorkerId;
    readonly machine: string;
    /** Wall time at which the incarnation started, in milliseconds since 1970; 0 if unknown. */
    readonly bornMs: number;
    /** Monotonic time at which the runs were captured, in milliseconds. */
    readonly lostAt: number;
    /** Monotonic time from which on the incarnation may have crashed under the runs, in milliseconds. */
    readonly earliestAt: number;
    /** Monotonic time at which it was known to be silent, in milliseconds. */
    readonly silentAt: number;
    readonly runs: readonly LostRun[];
};

/**
 * Captures runs of a worker's incarnation.
 *
 * @param worker - The worker.
 * @param runs - The runs on the worker that may be lost.
 * @param now - Monotonic time in milliseconds.
 * @returns The runs; none if the incarnation drained or its machine was next for upkeep, since it was about to leave.
 */
export function captureRuns(worker: WorkerEntry, runs: Iterable<Run>, now: number): LostRuns {
    const sent = [...runs].filter(run => run.isOrderSent);
    const isLeaving = worker.isCordoned || worker.drainingBornMs === worker.bornMs;
    return {
        worker: worker.id,
        machine: worker.machine,
        bornMs: worker.bornMs,
        lostAt: now,
        earliestAt: Math.max(
            worker.lastAnswerAt,
            Math.min(...sent.map(({ orderedAt }) => orderedAt)) - MAX_UNNOTICED_SILENCE_MS,
        ),
        silentAt: worker.silentSince ?? now,
        runs: isLeaving ? [] : sent.map(captureRun),
    };
}

function captureRun(run: Run): LostRun {
    return {
        task: run.task,
        number: run.number,
        run,
        // Without an answer to the start or the stop, the crash may have come before the stop, and be its reason.
        isCountable: run.stopAnsweredAt === undefined || !run.isConfirmed,
        isConfirmed: run.isConfirmed,
        ageMs: Math.max(0, run.worker.lastAnswerAt - run.confirmedAt),
    };
}

/**
 * Returns what shares the outcome of a task: its gang, otherwise the task alone.
 *
 * @param task - The task.
 * @returns The step of the gang, or the task.
 */
export function getOutcomeUnit(task: TaskEntry): OutcomeUnit {
    return task.step.spec.gang ? task.step : task;
}
