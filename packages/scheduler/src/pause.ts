import { setTimeout as sleep } from "node:timers/promises";

/** Function that waits for a time in milliseconds, or until the signal aborts. */
export type Pause = (ms: number, signal?: AbortSignal) => Promise<void>;

/**
 * Waits for a time, or until the signal aborts; an abort is not an error.
 *
 * @param ms - Time to wait, in milliseconds.
 * @param signal - Ends the wait early.
 */
export const pause: Pause = async (ms, signal) => {
    await sleep(ms, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
};
