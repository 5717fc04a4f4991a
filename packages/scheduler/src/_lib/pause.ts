import { setTimeout as sleep } from "node:timers/promises";

/**
 * Waits for a time, or until the signal aborts.
 *
 * @param ms - The time in milliseconds.
 * @param signal - Ends the wait early.
 */
export async function pause(ms: number, signal?: AbortSignal): Promise<void> {
    await sleep(ms, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
}
