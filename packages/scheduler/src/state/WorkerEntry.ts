import type { Resources } from "@balsamward/schema/scheduling";
import type { WakeSignal } from "../_lib/createWakeSignal.js";
import type { WorkerId } from "../ids.js";
import { createEmptyResources } from "./createEmptyResources.js";
import type { JobEntry, Run } from "./JobEntry.js";

/** An end that was applied and whose effect on a job may not be durable. */
export type AppliedEnd = {
    readonly number: number;
    readonly job: JobEntry;
    /** Number of changes of the job's progress after the end was applied. */
    readonly changeCount: number;
};

/** How far the ends that one incarnation of a worker has numbered are processed. */
export type EndNumbers = {
    /** Number of the last end that was applied. */
    lastApplied: number;
    /** Number of the last end whose effect is durable. */
    lastDurable: number;
    /** Number of the last end that a hold answered by the worker has acknowledged; the worker discards it. */
    lastAcknowledged: number;
    /** Applied ends beyond the last durable one, in order, without those that changed no job. */
    unstored: AppliedEnd[];
};

/** A reading of a worker's clock. */
export type ClockReading = {
    /** The worker's clock in milliseconds. */
    readonly clockMs: number;
    /** Monotonic time at which the call was sent, in milliseconds. */
    readonly sentAt: number;
    /** Monotonic time of the answer that contained it, in milliseconds. */
    readonly readAt: number;
};

/** For how long an incarnation of a worker is slow. */
export type Coldness = {
    /** Start of the incarnation, as `WorkerEntry.bornMs`; `NaN` if none is known. */
    readonly bornMs: number;
    /** Time for which it is slow, in milliseconds. */
    readonly coldMs: number;
};

/** State of a worker, as held by the owner. */
export type WorkerEntry = {
    readonly id: WorkerId;
    readonly address: string;
    /**
     * Monotonic time since which it has been unknown whether the worker answers, in milliseconds; `undefined` if it
     * has answered the last hold and no restart is known.
     */
    silentSince: number | undefined;
    /** Wall time at which the incarnation that last answered a hold started, in ms since 1970; 0 if unknown. */
    bornMs: number;
    service: string;
    dataCentre: string;
    rack: string;
    labels: readonly string[];
    machine: string;
    capacity: Resources;
    /** Resources that no run occupies. */
    readonly free: Resources;
    readonly runs: Set<Run>;
    /** Wakes the task that calls the worker. */
    readonly wakeSignal: WakeSignal;
    draining: boolean;
    /** Monotonic time until which nothing is placed beside the runs of the worker, in milliseconds. */
    isolatedUntil: number;
    /** Start of the incarnation that was last reported to drain, as `bornMs`; `NaN` if none was. */
    drainingBornMs: number;
    /** Whether nothing is started on the worker because the upkeep of its machine is next. */
    isCordoned: boolean;
    /** Monotonic time before which a draining worker does not leave, in milliseconds. */
    earliestLeaveAt: number;
    /** Pace of the best-effort runs, which fill idle capacity on the worker, in percent of full speed. */
    bestEffortPacePercent: number;
    /** Monotonic time at which `bestEffortPacePercent` was last lowered or raised, in milliseconds. */
    bestEffortPaceChangedAt: number;
    /** Whether the platform lists the worker. */
    isListed: boolean;
    /** Whether the worker has answered a hold of this owner since it was added or its latest restart was noticed. */
    hasAnswered: boolean;
    /** Whether the last hold failed or was not answered. */
    isUnresponsive: boolean;
    /** Monotonic time of the last answer, in milliseconds. */
    lastAnswerAt: number;
    /** Latest reading of the worker's clock; `undefined` before the first answer. */
    clock: ClockReading | undefined;
    /** Reading that becomes `confirmedClock` once the ownership is known to have been held after it. */
    unconfirmedClock: ClockReading | undefined;
    /** A reading after which the ownership was certainly held; `undefined` before the first. */
    confirmedClock: ClockReading | undefined;
    /** Monotonic time after which the lease of the known incarnation has ended, in milliseconds. */
    leaseEndsAt: number;
    /** Monotonic time after which the lease of any incarnation that got orders has ended, in milliseconds. */
    longestLeaseEndsAt: number;
    /** Whether the last proof of the ownership limited the latest extension of the lease. */
    isLeaseLimited: boolean;
    /** Numbers of the ends that the current incarnation has reported; a restart begins new ones. */
    ends: EndNumbers;
    /** Monotonic time before which nothing is started on the worker, in milliseconds. */
    pausedUntil: number;
    /** Number of consecutive failures and refusals. */
    consecutiveFaults: number;
    /** Time that the worker takes for a run, divided by the time of a typical worker; 1 if nothing is known. */
    relativeRunTime: number;
    /** Monotonic time until which the worker is slow after its start, in milliseconds. */
    coldUntil: number;
    /** Latest start and time of slowness that the worker has reported. */
    reportedColdness: Coldness;
};

/**
 * Creates the entry of a worker that has not been called yet.
 *
 * @param id - Id of the worker.
 * @param address - Address of the worker as `IP:port`.
 * @param wakeSignal - Wakes the task that calls the worker.
 * @param now - Monotonic time in milliseconds.
 * @returns The entry, without capacity.
 */
export function createWorkerEntry(
    id: WorkerId,
    address: string,
    wakeSignal: WakeSignal,
    now: number,
): WorkerEntry {
    return {
        id,
        address,
        silentSince: now,
        bornMs: 0,
        service: "",
        dataCentre: "",
        rack: "",
        labels: [],
        machine: "",
        capacity: createEmptyResources(),
        free: createEmptyResources(),
        runs: new Set(),
        wakeSignal,
        draining: false,
        isolatedUntil: Number.NEGATIVE_INFINITY,
        drainingBornMs: Number.NaN,
        isCordoned: false,
        earliestLeaveAt: Number.POSITIVE_INFINITY,
        bestEffortPacePercent: 100,
        bestEffortPaceChangedAt: 0,
        isListed: false,
        hasAnswered: false,
        isUnresponsive: false,
        lastAnswerAt: Number.NEGATIVE_INFINITY,
        clock: undefined,
        unconfirmedClock: undefined,
        confirmedClock: undefined,
        leaseEndsAt: Number.NEGATIVE_INFINITY,
        longestLeaseEndsAt: Number.NEGATIVE_INFINITY,
        isLeaseLimited: false,
        ends: createEndNumbers(),
        pausedUntil: Number.NEGATIVE_INFINITY,
        consecutiveFaults: 0,
        relativeRunTime: 1,
        coldUntil: Number.NEGATIVE_INFINITY,
        reportedColdness: { bornMs: Number.NaN, coldMs: 0 },
    };
}

/**
 * Creates the numbers of an incarnation that has not reported any end.
 *
 * @returns The numbers; an incarnation numbers its ends from 1.
 */
export function createEndNumbers(): EndNumbers {
    return { lastApplied: 0, lastDurable: 0, lastAcknowledged: 0, unstored: [] };
}
