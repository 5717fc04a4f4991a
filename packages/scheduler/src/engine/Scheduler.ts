import type PQueue from "p-queue";
import type { Logger } from "winston";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import type { JobId, WorkerId } from "../ids.js";
import type { Metrics } from "../Metrics.js";
import type { Pause } from "../pause.js";
import type { AdvicePort } from "../ports/AdvicePort.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { MachinePort, WaveRecords } from "../ports/MachinePort.js";
import type { WorkerPort, WorkerReport } from "../ports/WorkerPort.js";
import type { JobEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { RunTimePredictor } from "./createRunTimePredictor.js";

/** Lists the workers that the platform knows; an entry that cannot be read is left out. */
export type ListWorkers = () => Promise<readonly WorkerReport[] | undefined>;

/** What the scheduler of an owner is made of. */
export type SchedulerDependencies = {
    readonly store: FleetStore;
    readonly workers: WorkerPort;
    /** This daemon's name. */
    readonly node: string;
    readonly advice: AdvicePort;
    readonly machines: MachinePort;
    readonly waves: WaveRecords;
    readonly listWorkers: ListWorkers;
    readonly configuration: () => FleetConfiguration | undefined;
    readonly log: Logger;
    readonly metrics: Metrics;
    /** Waits for a steady time. */
    readonly pause: Pause;
    /** Returns the steady time in milliseconds. */
    readonly clock: () => number;
    /** Returns the agreed time of day in milliseconds since 1970. */
    readonly wallClock: () => number;
    readonly bounds: SchedulerBounds;
};

/** Bounds that the platform sets. */
export type SchedulerBounds = {
    /** Longest lease of what runs on a worker in milliseconds. */
    readonly maxHoldMs: number;
    /** Time for which the state of an ended job is kept, in milliseconds. */
    readonly stateRetentionMs: number;
};

/** A term of ownership: everything the owner orders or writes is fenced by its revision. */
export type Ownership = {
    /** Key whose revision every transaction of the owner expects. */
    readonly key: string;
    /** Revision at which the term began; fences calls of workers. */
    readonly revision: number;
    /** Number of terms before this one. */
    readonly term: number;
    /** Ends with the term. */
    readonly signal: AbortSignal;
    /** Ends the term, with its reason. */
    readonly resign: (reason: string) => void;
};

/** The scheduler of one term of ownership. */
export type Scheduler = SchedulerDependencies & {
    readonly ownership: Ownership;
    readonly jobs: Map<JobId, JobEntry>;
    /** Jobs that have not ended. */
    readonly activeJobs: Set<JobEntry>;
    readonly fleet: Map<WorkerId, WorkerEntry>;
    /** Workers of earlier terms that have not answered this owner; runs unknown to it may be there. */
    readonly unreconciledWorkers: Set<WorkerId>;
    /** Steady time at which every unknown run has ended. */
    unknownRunsEndAt: number;
    /** Workers in the stored roster. */
    readonly roster: Set<WorkerId>;
    rosterRevision: number;
    /** Whether all stored state is loaded. */
    isLoaded: boolean;
    readonly runTimePredictor: RunTimePredictor;
    /** Calls for advice, which the service answers one after the other. */
    readonly adviceQueue: PQueue;
    /** Asks for a placement pass. */
    requestPass: () => void;
    /** Asks for a write of changed progress. */
    requestFlush: () => void;
    /** Starts a background task of the term. */
    spawn: (task: () => Promise<void>) => void;
};
