import type { StoreModel } from "../StoreModel.js";

/** Faults injected into the store. */
export type StoreFaults = {
    /** Closes the connection of every call before the call takes effect. */
    down: boolean;
    /** Delay of every call in milliseconds. */
    delayMs: number;
    /** Number of the next writes that take effect and whose response is lost. */
    lostAnswers: number;
    /** Watches get no response. */
    silentWatches: boolean;
};

/** Numbers of calls to the store, and bytes of the values written. */
export type StoreCounters = { reads: number; writes: number; watches: number; writtenBytes: number };

/** The contents of a fake store, with its injected faults and counters. */
export type StoreState = {
    readonly model: StoreModel;
    readonly faults: StoreFaults;
    readonly counters: StoreCounters;
};
