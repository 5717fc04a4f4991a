import type { MachineEntry } from "./MachineEntry.js";

/** What is known of the run time of one run, as a logarithm of milliseconds. */
export type RunEvidence = {
    readonly logMs: number;
    /** Variance of the measurement, in addition to the differences between the tasks of one step. */
    readonly variance: number;
};

/** The expected run time of a step's tasks on a typical worker, before any of them is observed. */
export type StepPrior = {
    readonly logMs: number;
    /** Variance of the expectation; infinite if nothing is known. */
    readonly variance: number;
};

/** Runs of one step whose run times are compared. */
export type StepEvidence = {
    readonly prior: StepPrior;
    /** Evidence by machine and run. Runs of one step on one machine say nothing about its relative run time. */
    readonly machines: Map<MachineEntry, Map<object, RunEvidence>>;
    runCount: number;
    /** Logarithm of the run time on a typical worker, as last fitted. */
    logMs: number;
    /** Whether the evidence has changed since the last fit. */
    hasChanged: boolean;
    /** Monotonic time of the latest evidence, in milliseconds. */
    changedAt: number;
};
