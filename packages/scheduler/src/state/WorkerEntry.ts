import type { Resources } from "@balsamward/schema/scheduling";
import type { WakeSignal } from "../_lib/createWakeSignal.js";
import type { WorkerId } from "../ids.js";
import { createEmptyResources } from "./createEmptyResources.js";
import type { Run } from "./JobEntry.js";

/** One life of a worker as the owner knows it. */
export type WorkerEntry = {
    readonly id: WorkerId;
    readonly address: string;
    /** Wall time of the life's begin in milliseconds since 1970; 0 if it is not known. */
    bornMs: number;
    service: string;
    dataCentre: string;
    rack: string;
    labels: readonly string[];
    machine: string;
    capacity: Resources;
    /** What no run takes up. */
    readonly free: Resources;
    readonly runs: Set<Run>;
    /** Wakes the worker's task. */
    readonly wakeSignal: WakeSignal;
    draining: boolean;
    /** Whether it gets no starts because its machine has its upkeep next. */
    isCordoned: boolean;
    /** Steady time before which a draining worker does not leave. */
    earliestLeaveAt: number;
    /** Share of its speed at which filling work works here, in percent. */
    fillPacePercent: number;
    /** Steady time at which `fillPace` last changed. */
    fillPaceChangedAt: number;
    /** Whether the platform lists the worker. */
    isListed: boolean;
    /** Whether this life has answered a hold of this owner. */
    hasAnswered: boolean;
    /** Whether the last hold was not answered. */
    isUnresponsive: boolean;
    /** Steady time of the last answer. */
    lastAnswerAt: number;
    /** The worker's clock at `clockReadAt`, in milliseconds. */
    clockMs: number;
    clockReadAt: number;
    /** Steady time until which something may run on the worker. */
    leaseEndsAt: number;
    /** Highest end that was applied. */
    lastAppliedEnd: number;
    /** Highest end whose effect is durable. */
    lastDurableEnd: number;
    /** Highest end that the worker was told to forget. */
    lastForgottenEnd: number;
    /** Steady time before which nothing is started on the worker. */
    pausedUntil: number;
    /** Failures and refusals in a row. */
    consecutiveFaults: number;
};

/**
 * Creates the entry of a worker that has not been called.
 *
 * @param id - The worker.
 * @param address - Its address as `IP:port`.
 * @param bornMs - Wall time at which this life began, in milliseconds since 1970.
 * @param wakeSignal - Wakes the worker's task.
 * @returns The entry, with no capacity.
 */
export function createWorkerEntry(
    id: WorkerId,
    address: string,
    bornMs: number,
    wakeSignal: WakeSignal,
): WorkerEntry {
    return {
        id,
        address,
        bornMs,
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
        isCordoned: false,
        earliestLeaveAt: Number.POSITIVE_INFINITY,
        fillPacePercent: 100,
        fillPaceChangedAt: 0,
        isListed: false,
        hasAnswered: false,
        isUnresponsive: false,
        lastAnswerAt: Number.NEGATIVE_INFINITY,
        clockMs: 0,
        clockReadAt: 0,
        leaseEndsAt: Number.NEGATIVE_INFINITY,
        lastAppliedEnd: 0,
        lastDurableEnd: 0,
        lastForgottenEnd: 0,
        pausedUntil: Number.NEGATIVE_INFINITY,
        consecutiveFaults: 0,
    };
}
