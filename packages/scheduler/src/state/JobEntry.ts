import type { Job, JobState, Step } from "@balsamward/schema/scheduling";
import type { QueueTerms } from "../FleetConfiguration.js";
import type { JobId, QueueName, TaskName, WorkerId } from "../ids.js";
import type { WorkerEntry } from "./WorkerEntry.js";

/** Phase of a run: ordered to start, confirmed by its worker, or ordered to stop. */
export type RunPhase = "starting" | "running" | "stopping";

/** One run of a task on a worker, from before the order to start it until it is known to have ended. */
export type Run = {
    readonly task: TaskEntry;
    readonly worker: WorkerEntry;
    readonly number: number;
    phase: RunPhase;
    /** Whether this owner ordered the run and the task started from the beginning rather than from a checkpoint. */
    readonly coversWholeTask: boolean;
    /** Whether an order to start the run may have reached the worker. */
    isOrderSent: boolean;
    /** Whether the run is released without a report of its end, since its worker is silent or gone. */
    hasUnknownEnd: boolean;
    /** Whether the worker has confirmed that the run exists. */
    isConfirmed: boolean;
    /** Monotonic time of the order, in milliseconds. */
    readonly orderedAt: number;
    /** Monotonic time at which the worker confirmed the run, in milliseconds; until then, the time of creation. */
    confirmedAt: number;
    /**
     * Start of the incarnation of the worker that has certainly got the last order to start the run, as `bornMs`;
     * `undefined` if it is not known which has.
     */
    incarnationBornMs: number | undefined;
    /** Monotonic time at which the worker answered an order to stop, in milliseconds; `undefined` before. */
    stopAnsweredAt: number | undefined;
    /** Progress of the run in percent, as last listed by the worker. */
    percent: number;
    /** Monotonic time at which `percent` last rose, in milliseconds. */
    progressedAt: number;
    /** Load that the worker last listed for the run; see `RunningRun`. */
    load: number;
    /** Pace that was last ordered for the run, in percent of full speed; `NaN` if the order was not confirmed. */
    pacePercent: number;
    /** Whether another pace than full speed was ever ordered for the run. */
    wasPaced: boolean;
};

/** A run of a suspected task as it is stored, so that the next owner counts a crash under it. */
export type SuspectedRun = {
    readonly run: number;
    readonly worker: WorkerId;
    readonly machine: string;
    /** Wall time at which the worker's incarnation started, in milliseconds since 1970. */
    readonly bornMs: number;
    /** Whether the worker was to run nothing else. */
    readonly alone: boolean;
};

/** One task of a step. */
export type TaskEntry = {
    readonly name: TaskName;
    readonly step: StepEntry;
    done: boolean;
    failures: number;
    /** Highest run number that was used. */
    lastRun: number;
    /** Numbers of the runs that are counted as failures. Workers report ends in any order. */
    readonly countedRuns: Set<number>;
    /** Numbers of the runs under which a worker has crashed; the members of a gang share them. */
    readonly crashedRuns: Set<number>;
    /** How strongly these crashes speak against the task, see `computeCrashEvidence`; 0 if it is not suspected. */
    crashEvidence: number;
    /** Longest time for which a run had lasted that counts as evidence, in milliseconds. */
    crashAgeMs: number;
    /** Time after the latest crash for which the task is not started, in milliseconds. */
    crashHoldMs: number;
    /** Monotonic time at which the latest crash became known to this owner, in milliseconds. */
    crashedAt: number;
    /** Runs of which it is not known how they ended, while the task is suspected. */
    suspectedRuns: readonly SuspectedRun[];
    checkpoint: string;
    readonly runs: Run[];
    /** Workers on which the task failed or stalled. */
    readonly avoidedWorkers: Set<WorkerId>;
};

/** Advice that the advice service has given for a step. */
export type StepAdvice = {
    /** Tickets by worker, each with the monotonic time at which it expires, in milliseconds. */
    readonly tickets: Map<WorkerId, { readonly ticket: string; readonly validUntil: number }>;
    /** Workers that are not allowed to run the step. */
    readonly denied: Set<WorkerId>;
    /** Whether a request for advice about the step is pending. */
    isRequestPending: boolean;
};

/** Workers that are kept free for a step. */
export type Reservation = {
    /** The workers; none if no plan was found. */
    readonly workers: readonly WorkerEntry[];
    /** Monotonic time of the plan, in milliseconds. */
    readonly plannedAt: number;
};

/** A step of one occurrence of a job. */
export type StepEntry = {
    readonly job: JobEntry;
    readonly occurrence: number;
    readonly number: number;
    readonly spec: Step;
    readonly tasks: readonly TaskEntry[];
    /** Number of tasks that are done. */
    doneCount: number;
    /** Advice received so far; `undefined` before the first request. */
    advice: StepAdvice | undefined;
    /** Monotonic time from which the step was ready to start, in milliseconds; `undefined` before. */
    readyAt: number | undefined;
    /**
     * Monotonic time since which the ready step has had no run, or a lasting one a task without a run, in milliseconds;
     * `undefined` if that is not so.
     */
    waitingSince: number | undefined;
    /** Whether the log shows what the current wait is for. */
    isWaitLogged: boolean;
    /** Workers that are being kept free for the step; `undefined` before the first plan and once it is placed. */
    reservation: Reservation | undefined;
};

/**
 * Where the terms of a job come from: its queue as it is configured, the job's acceptance, its acceptance under a newer
 * configuration than the owner's, the queue as it was last configured, or assumptions; `none` if the job cannot be
 * placed.
 */
export type TermsSource = "configured" | "accepted" | "newer" | "last-known" | "assumed" | "none";

/** State of a job, as held by the owner. */
export type JobEntry = {
    readonly id: JobId;
    readonly job: Job;
    readonly queue: QueueName;
    /** Terms under which the job was accepted; `undefined` if they are not stored with it. */
    readonly acceptedTerms: QueueTerms | undefined;
    /** Last known terms of the queue of a job without `acceptedTerms`. */
    lastTerms: QueueTerms | undefined;
    /** Source of the terms in the latest placement pass, `configured` before the first. */
    termsSource: TermsSource;
    /** Store revision at which the job was written. */
    readonly revision: number;
    /** Monotonic time at which the job was accepted, in milliseconds. */
    readonly acceptedAt: number;
    /** Steps by number of the occurrence; the occurrences of a schedule are added when they are due. */
    readonly occurrences: Map<number, readonly StepEntry[]>;
    state: JobState;
    /** State in the progress that was last stored; queued if none was. */
    durableState: JobState;
    cancelled: boolean;
    /** Whether a worker has confirmed that it began a task of the job. */
    hasStarted: boolean;
    /** Store revision of the stored progress; 0 if there is none. */
    progressRevision: number;
    /** Number of further values that may hold checkpoints of the job; their keys are numbered from 0. */
    progressPartCount: number;
    /** Whether the progress has changed since it was last stored. */
    hasUnstoredProgress: boolean;
    /** Number of changes of the progress in this term. */
    changeCount: number;
    /** Number of these changes that are stored. */
    storedChangeCount: number;
    /** Wall time at which the job ended, in milliseconds since 1970; 0 before. */
    endedAtMs: number;
    /** Monotonic time since which this owner knows that the job has ended, in milliseconds; infinite before. */
    endKnownAt: number;
};
