import type { Resources } from "@balsamward/schema/scheduling";
import type { Bell } from "../_lib/createBell.js";
import type { WorkerId } from "../ids.js";
import { emptyResources } from "./emptyResources.js";
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
    readonly bell: Bell;
    draining: boolean;
    /** Whether it gets no starts because its machine has its upkeep next. */
    isCordoned: boolean;
    /** Steady time before which a draining worker does not leave. */
    leavesAt: number;
    /** Share of its speed at which filling work works here, in percent. */
    fillPace: number;
    /** Steady time at which `fillPace` last changed. */
    fillRaisedAt: number;
    /** Whether the platform lists the worker. */
    listed: boolean;
    /** Whether this life has answered a hold of this owner. */
    reached: boolean;
    /** Whether the last hold was not answered. */
    isSilent: boolean;
    /** Steady time of the last answer. */
    answeredAt: number;
    /** The worker's clock at `clockReadAt`, in milliseconds. */
    clockMs: number;
    clockReadAt: number;
    /** Steady time until which something may run on the worker. */
    leaseEndsAt: number;
    /** Highest end that was applied. */
    endsApplied: number;
    /** Highest end whose effect is durable. */
    endsKept: number;
    /** Highest end that the worker was told to forget. */
    endsForgotten: number;
    /** Steady time before which nothing is started on the worker. */
    pausedUntil: number;
    /** Failures and refusals in a row. */
    faults: number;
};

/**
 * Creates the entry of a worker that has not been called.
 *
 * @param id - The worker.
 * @param address - Its address as `IP:port`.
 * @param bornMs - Wall time at which this life began, in milliseconds since 1970.
 * @param bell - Wakes the worker's task.
 * @returns The entry, with no capacity.
 */
export function createWorkerEntry(id: WorkerId, address: string, bornMs: number, bell: Bell): WorkerEntry {
    return {
        id,
        address,
        bornMs,
        service: "",
        dataCentre: "",
        rack: "",
        labels: [],
        machine: "",
        capacity: emptyResources(),
        free: emptyResources(),
        runs: new Set(),
        bell,
        draining: false,
        isCordoned: false,
        leavesAt: Number.POSITIVE_INFINITY,
        fillPace: 100,
        fillRaisedAt: 0,
        listed: false,
        reached: false,
        isSilent: false,
        answeredAt: Number.NEGATIVE_INFINITY,
        clockMs: 0,
        clockReadAt: 0,
        leaseEndsAt: Number.NEGATIVE_INFINITY,
        endsApplied: 0,
        endsKept: 0,
        endsForgotten: 0,
        pausedUntil: Number.NEGATIVE_INFINITY,
        faults: 0,
    };
}
