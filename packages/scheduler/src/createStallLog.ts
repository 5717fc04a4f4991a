import type { Logger } from "winston";

/** Time between two turns of the event loop from which on a line is logged, in milliseconds. */
const MIN_STALL_MS = 300;

/** Time for which a stall is remembered, in milliseconds. */
const MEMORY_MS = 30_000;

/** The clocks of a process, in milliseconds. */
export type ProcessClocks = {
    /** Returns the monotonic time. */
    readonly clock: () => number;
    /** Returns the processor time that the process has used. */
    readonly cpuClock: () => number;
};

/** Notices and logs stalls of the event loop. */
export type StallLog = {
    /** To be called at regular intervals far shorter than `MIN_STALL_MS`. */
    readonly noteTurn: () => void;
    /** Returns the duration of the longest stall in the last `MEMORY_MS`, in milliseconds; 0 if there was none. */
    readonly getLongestMs: () => number;
};

type Stall = { readonly endedAt: number; readonly tookMs: number };

/**
 * Creates a log of the stalls of the process's event loop, with a line for each. Processor time close to the duration
 * shows that the process was at work; much less, that it was suspended or waited for a processor.
 *
 * @param log - The log.
 * @param clocks - The clocks of the process.
 * @returns The log of stalls.
 *
 * @example
 * const stalls = createStallLog(log, { clock: () => performance.now(), cpuClock: getCpuMs });
 * setInterval(stalls.noteTurn, 100).unref();
 */
export function createStallLog(log: Logger, { clock, cpuClock }: ProcessClocks): StallLog {
    let stalls: readonly Stall[] = [];
    let lastAt = clock();
    let lastCpuMs = cpuClock();
    const forgetOldStalls = (): void => {
        stalls = stalls.filter(({ endedAt }) => clock() - endedAt < MEMORY_MS);
    };
    return {
        noteTurn: () => {
            const now = clock();
            const cpuMs = cpuClock();
            const tookMs = now - lastAt;
            if (tookMs >= MIN_STALL_MS) {
                log.info("The event loop stood still.", {
                    tookMs: Math.round(tookMs),
                    cpuMs: Math.round(cpuMs - lastCpuMs),
                });
                forgetOldStalls();
                stalls = [...stalls, { endedAt: now, tookMs }];
            }
            lastAt = now;
            lastCpuMs = cpuMs;
        },
        getLongestMs: () => {
            forgetOldStalls();
            return Math.max(0, ...stalls.map(({ tookMs }) => tookMs));
        },
    };
}
