/** Wakes one waiting task; rings while nobody waits are kept. */
export type Bell = {
    readonly ring: () => void;
    /** Waits for a ring, for `timeoutMs`, or until the signal aborts. */
    readonly wait: (timeoutMs: number, signal: AbortSignal) => Promise<void>;
};

/**
 * Creates a bell.
 *
 * @returns The bell, not rung.
 *
 * @example
 * const bell = createBell();
 * bell.ring();
 * await bell.wait(1_000, signal); // returns at once
 */
export function createBell(): Bell {
    let rung = false;
    let release: (() => void) | undefined;
    return {
        ring: () => {
            rung = true;
            release?.();
        },
        wait: async (timeoutMs, signal) => {
            if (!rung && !signal.aborted) {
                await new Promise<void>(resolve => {
                    const done = (): void => {
                        clearTimeout(timer);
                        signal.removeEventListener("abort", done);
                        release = undefined;
                        resolve();
                    };
                    const timer = setTimeout(done, timeoutMs);
                    signal.addEventListener("abort", done);
                    release = done;
                });
            }
            rung = false;
        },
    };
}
