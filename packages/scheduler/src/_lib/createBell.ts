import type { Pause } from "../pause.js";

/** Wakes one waiting task; a ring while nobody waits is kept. */
export type Bell = {
    readonly ring: () => void;
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
export function createBell(pause: Pause): Bell {
    let isRung = false;
    let waiting: AbortController | undefined;
    return {
        ring: () => {
            isRung = true;
            waiting?.abort();
        },
        wait: async (timeoutMs, signal) => {
            if (!isRung && !signal.aborted) {
                const end = new AbortController();
                const endWait = (): void => end.abort();
                signal.addEventListener("abort", endWait, { once: true });
                waiting = end;
                await pause(timeoutMs, end.signal);
                waiting = undefined;
                signal.removeEventListener("abort", endWait);
            }
            isRung = false;
        },
    };
}
