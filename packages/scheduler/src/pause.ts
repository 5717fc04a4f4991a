/** Function that waits for a time in milliseconds, or until the signal aborts. */
export type Pause = (ms: number, signal?: AbortSignal) => Promise<void>;

/**
 * Waits for a time, or until the signal aborts; an abort is not an error.
 *
 * @param ms - Time to wait, in milliseconds.
 * @param signal - Ends the wait early.
 */
export const pause: Pause = (ms, signal) =>
    new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const end = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", end);
            resolve();
        };
        const timer = setTimeout(end, ms);
        signal?.addEventListener("abort", end, { once: true });
    });
