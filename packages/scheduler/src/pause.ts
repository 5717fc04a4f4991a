import { setTimeout as sleep } from "node:timers/promises";

/** Waits for a time in milliseconds, or until the signal aborts. */
export type Pause = (ms: number, signal?: AbortSignal) => Promise<void>;

/**
 * Waits for a time, or until the signal aborts.
 *
 * @param ms - The time in milliseconds.
 * @param signal - Ends the wait early.
 */
export const pause: Pause = async (ms, signal) => {
    await sleep(ms, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
};
