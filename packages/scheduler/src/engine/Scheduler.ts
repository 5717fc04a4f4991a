import type PQueue from "p-queue";
import type { Logger } from "winston";
import type { SuspensionDetector } from "../_lib/createSuspensionDetector.js";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import type { JobId, WorkerId } from "../ids.js";
import type { Metrics } from "../Metrics.js";
import type { OrderQueue } from "../orders/createOrderQueue.js";
import type { Pause } from "../pause.js";
import type { AdvicePort } from "../ports/AdvicePort.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { MachinePort, WaveRecordFormat } from "../ports/MachinePort.js";
import type { WorkerPort, WorkerReport } from "../ports/WorkerPort.js";
import type { RelativeRunTimes } from "../runTimes/createRelativeRunTimes.js";
import type { RunTimePredictor } from "../runTimes/RunTimePredictor.js";
import type { JobEntry, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { LostRuns } from "./crashes/LostRuns.js";
import type { MachineLife, WorkerCrash } from "./crashes/WorkerCrash.js";

/** Lists the workers that have registered, without malformed entries; `undefined` if the list cannot be read. */
export type ListWorkers = () => Promise<readonly WorkerReport[] | undefined>;

/** Dependencies of the scheduler that a daemon runs while it owns the fleet. */
export type SchedulerDependencies = {
    readonly store: FleetStore;
    readonly workers: WorkerPort;
    /** Name of this daemon. */
    readonly node: string;
    readonly advice: AdvicePort;
    readonly machines: MachinePort;
    readonly waveRecordFormat: WaveRecordFormat;
    readonly listWorkers: ListWorkers;
    readonly configuration: () => FleetConfiguration | undefined;
    /** Returns the data centres to which no work may be sent. */
    readonly evacuatedDataCentres: () => ReadonlySet<string>;
    /** Brings `evacuatedDataCentres` up to date with the store; returns false if the store cannot be read. */
    readonly readEvacuations: () => Promise<boolean>;
    readonly log: Logger;
    readonly metrics: Metrics;
    /** Waits for a duration on the monotonic clock. */
    readonly pause: Pause;
    /** Returns the monotonic time in milliseconds. */
    readonly clock: () => number;
    /** Returns the median of the daemons' wall clocks, in milliseconds since 1970. */
    readonly wallClock: () => number;
    /** Returns this machine's wall clock in milliseconds since 1970. */
    readonly machineWallClock: () => number;
    readonly bounds: SchedulerBounds;
};

/** Limits that the platform sets. */
export type SchedulerBounds = {
    /** Longest lease of the runs on a worker, in milliseconds. */
    readonly maxHoldMs: number;
    /** Retention time for the state of an ended job, in milliseconds. */
    readonly stateRetentionMs: number;
};

/** A term of ownership. Its revision fences every order and every write of the owner. */
export type Ownership = {
    /** Store key whose revision every transaction of the owner expects. */
    readonly key: string;
    /** Revision at which the term began; the fencing token of calls to workers. */
    readonly revision: number;
    /** Number of terms before this one. */
    readonly term: number;
    /** Aborted when the term ends. */
    readonly signal: AbortSignal;
    /** Returns the latest monotonic time at which no other daemon could be the owner, in milliseconds. */
    readonly heldAt: () => number;
    /** Ends the term for the given reason. */
    readonly resign: (reason: string) => void;
};

/** Workers with their addresses as `IP:port`. */
export type Roster = ReadonlyMap<WorkerId, string>;

/**
 * Times by which the unknown runs of workers have ended, in milliseconds from a write of the roster. The next owner
 * relies on them, so this one neither starts a run on such a worker nor extends its lease.
 */
export type RosterBounds = ReadonlyMap<WorkerId, number>;

/** The machines and the starts of workers, as far as they are known. */
export type RosterLives = ReadonlyMap<WorkerId, { readonly machine: string; readonly bornMs: number }>;

/** What is known of a worker that another one has replaced. */
export type Replacement = {
    /** Address at which the other worker has answered. */
    readonly address: string;
    /** Monotonic time of that answer, in milliseconds. */
    readonly replacedAt: number;
};

/** The scheduler and its state during one term of ownership. */
export type Scheduler = SchedulerDependencies & {
    readonly ownership: Ownership;
    readonly jobs: Map<JobId, JobEntry>;
    /** Jobs that have not ended. */
    readonly activeJobs: Set<JobEntry>;
    readonly fleet: Map<WorkerId, WorkerEntry>;
    /**
     * Workers of earlier terms that have not yet listed all their runs to this owner, each with the monotonic time in
     * milliseconds by which these have ended.
     */
    readonly unreconciledWorkers: Map<WorkerId, number>;
    /** Workers that have been replaced by others at their addresses and may still be listed. */
    readonly replacedWorkers: Map<WorkerId, Replacement>;
    /** Addresses of the workers that the stored roster certainly lists; it lists those that may have runs. */
    roster: Roster;
    /** Bounds of this owner that the stored roster may contain. */
    rosterBounds: RosterBounds;
    /** Lives of workers that the stored roster contained last. */
    rosterLives: RosterLives;
    /** Store revision that the next write of the roster expects. */
    rosterRevision: number;
    /** Whether the outcome of the last write of the roster is unknown. */
    isRosterUnclear: boolean;
    /** Whether all stored state has been loaded. */
    isLoaded: boolean;
    /** Monotonic time up to which the owner knows the stored jobs, in milliseconds. */
    jobsReadAt: number;
    /** Runs that were released without a report of their worker, which may have crashed. */
    lostRuns: readonly LostRuns[];
    /** Monotonic time since which the owner has watched the workers, in milliseconds. */
    watchedSince: number;
    /** The crashes of workers in the last minute. */
    workerCrashes: readonly WorkerCrash[];
    /** The life of each machine that was listed last, by the machine's name. */
    readonly machineLives: Map<string, MachineLife>;
    /** Step whose reservation is planned in the next pass, before any other; `undefined` if none waits for that. */
    nextPlan: StepEntry | undefined;
    readonly getSuspendedAt: SuspensionDetector;
    readonly runTimePredictor: RunTimePredictor;
    readonly relativeRunTimes: RelativeRunTimes;
    /** Queue of the orders to start and stop runs. */
    readonly orders: OrderQueue;
    /** Queue of the holds to workers of which it is not known whether, and in which incarnation, they answer. */
    readonly probes: PQueue;
    /** Queue of calls to the advice service, which handles one call at a time. */
    readonly adviceQueue: PQueue;
    /** Requests a placement pass. */
    requestPass: () => void;
    /** Requests that changed progress is written to the store. */
    requestFlush: () => void;
    /** Starts a background task of the term; an unexpected error in it is logged. */
    spawn: (task: () => Promise<void>) => void;
};
