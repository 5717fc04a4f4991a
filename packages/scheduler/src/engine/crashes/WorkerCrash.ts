import type { WorkerId } from "../../ids.js";
import type { StepEntry, TaskEntry } from "../../state/JobEntry.js";

/** What shares the outcome of a run: a gang as a whole, or a task. */
export type OutcomeUnit = StepEntry | TaskEntry;

/** The time in which a crash happened, as far as it is known. */
export type CrashTime = {
    /** Monotonic time of the last sign of life, in milliseconds. */
    readonly earliestAt: number;
    /** Monotonic time at which the worker was known to be silent, in milliseconds. */
    readonly latestAt: number;
};

/** A crash of a worker, with or without runs. */
export type WorkerCrash = CrashTime & {
    /** The machine of the worker, as `getMachineName` returns it. */
    readonly machine: string;
    /** Wall time at which the incarnation that crashed had started, in milliseconds since 1970; 0 if unknown. */
    readonly bornMs: number;
    /** What ran on the worker. */
    readonly units: readonly OutcomeUnit[];
};

/** The life of a machine that was listed last. */
export type MachineLife = {
    readonly id: WorkerId;
    /** Wall time at which it started, in milliseconds since 1970. */
    readonly bornMs: number;
    /** Whether the worker was to leave, so that its end is no crash. */
    readonly isLeaving: boolean;
    /** Monotonic time at which it was last listed, in milliseconds. */
    readonly listedAt: number;
};
