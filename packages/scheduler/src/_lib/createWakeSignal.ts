import type { Pause } from "../pause.js";

/** Wakes one waiting task; a ring while nobody waits is kept. */
export type WakeSignal = {
    readonly notify: () => void;
    /** Waits for a ring, for `timeoutMs`, or until the signal aborts. */
    readonly wait: (timeoutMs: number, signal: AbortSignal) => Promise<void>;
};

/**
 * Creates a bell.
 *
 * @param pause - Waits for a time.
 * @returns The bell, not rung.
 *
 * @example
 * const bell = createBell(pause);
 * bell.ring();
 * await bell.wait(1_000, signal); // returns at once
 */
export function createWakeSignal(pause: Pause): WakeSignal {
    let isNotified = false;
    let pendingWait: AbortController | undefined;
    return {
        notify: () => {
            isNotified = true;
            pendingWait?.abort();
        },
        wait: async (timeoutMs, signal) => {
            if (!isNotified && !signal.aborted) {
                const end = new AbortController();
                const endWait = (): void => end.abort();
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
