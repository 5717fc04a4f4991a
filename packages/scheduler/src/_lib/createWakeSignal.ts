import type { Pause } from "../pause.js";

/** Wakes one waiting task. A notification while no task waits is kept for the next wait. */
export type WakeSignal = {
    /** Wakes the waiting task, or lets the next wait return at once. */
    readonly notify: () => void;
    /** Waits for a notification, for `timeoutMs` milliseconds, or until the signal aborts, whichever comes first. */
    readonly wait: (timeoutMs: number, signal: AbortSignal) => Promise<void>;
};

/** Reason of an ended wait; a given reason spares the creation of an error with a stack trace for each. */
const WAIT_ENDED = "The wait has ended.";

/**
 * Creates a wake signal.
 *
 * @param pause - Waits for a time in milliseconds, or until a signal aborts.
 * @returns The signal, without a pending notification.
 *
 * @example
 * const wakeSignal = createWakeSignal(pause);
 * wakeSignal.notify();
 * await wakeSignal.wait(1_000, signal); // returns at once
 */
export function createWakeSignal(pause: Pause): WakeSignal {
    let isNotified = false;
    let pendingWait: AbortController | undefined;
    return {
        notify: () => {
            isNotified = true;
            pendingWait?.abort(WAIT_ENDED);
        },
        wait: async (timeoutMs, signal) => {
            if (!isNotified && !signal.aborted) {
                const end = new AbortController();
                const endWait = (): void => end.abort(WAIT_ENDED);
                signal.addEventListener("abort", endWait, { once: true });
                pendingWait = end;
                await pause(timeoutMs, end.signal);
                pendingWait = undefined;
                signal.removeEventListener("abort", endWait);
            }
            isNotified = false;
        },
    };
}
