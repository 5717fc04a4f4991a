import type { Job, JobState, Step } from "@balsamward/schema/scheduling";
import type { JobId, QueueName, TaskName, WorkerId } from "../ids.js";
import type { WorkerEntry } from "./WorkerEntry.js";

/** Where a run stands: ordered, confirmed by its worker, or ordered to stop. */
export type RunPhase = "starting" | "running" | "stopping";

/** One run of a task on a worker, from before its order until its end is certain. */
export type Run = {
    readonly task: TaskEntry;
    readonly worker: WorkerEntry;
    readonly number: number;
    phase: RunPhase;
    /** Whether this owner ordered the run, from the task's beginning on. */
    readonly coversWholeTask: boolean;
    /** Whether the worker has said that the run is there. */
    isConfirmed: boolean;
    /** Steady time of the order in milliseconds. */
    readonly orderedAt: number;
    /** Steady time at which the worker confirmed the run. */
    confirmedAt: number;
    /** Steady time at which the worker answered a stop; `undefined` before. */
    stopAnsweredAt: number | undefined;
    percent: number;
    /** Steady time at which `percent` last rose. */
    progressedAt: number;
    load: number;
    /** Share of its speed at which the run was last told to work. */
    pacePercent: number;
};

/** One task of a step of an occurrence. */
export type TaskEntry = {
    readonly name: TaskName;
    readonly step: StepEntry;
    done: boolean;
    failures: number;
    /** Highest run number used. */
    lastRun: number;
    /** Last run that was counted as a failure. */
    countedRun: number;
    checkpoint: string;
    readonly runs: Run[];
    /** Workers on which the task failed. */
    readonly avoidedWorkers: Set<WorkerId>;
};

/** What the advice service has said about a step. */
export type StepAdvice = {
    /** Permissions by worker, each with the steady time at which it ends. */
    readonly tickets: Map<WorkerId, { readonly ticket: string; readonly validUntil: number }>;
    /** Workers that may not run the step. */
    readonly denied: Set<WorkerId>;
    /** Whether a call about the step is on its way. */
    isRequestPending: boolean;
};

/** A step of an occurrence. */
export type StepEntry = {
    readonly job: JobEntry;
    readonly occurrence: number;
    readonly number: number;
    readonly spec: Step;
    readonly tasks: readonly TaskEntry[];
    /** Number of tasks that are done. */
    doneCount: number;
    /** What the advice service has said; `undefined` before it was asked. */
    advice: StepAdvice | undefined;
    /** Steady time at which the step could first have begun; `undefined` before. */
    readyAt: number | undefined;
    /** Whether workers are kept free for the step. */
    isReservingWorkers: boolean;
};

/** A job as its owner knows it. */
export type JobEntry = {
    readonly id: JobId;
    readonly job: Job;
    readonly queue: QueueName;
    /** Revision at which the job was stored. */
    readonly revision: number;
    /** Steady time at which the job was accepted. */
    readonly acceptedAt: number;
    /** Steps by occurrence; scheduled occurrences are added when they are due. */
    readonly occurrences: Map<number, readonly StepEntry[]>;
    state: JobState;
    /** State that the store holds. */
    durableState: JobState;
    cancelled: boolean;
    /** Whether any task was ever started. */
    hasStarted: boolean;
    /** Revision of the stored progress; 0 if there is none. */
    progressRevision: number;
    /** Whether the progress must be stored. */
    hasUnstoredProgress: boolean;
    /** Wall time of the end in milliseconds since 1970; 0 before it. */
    endedAtMs: number;
};
