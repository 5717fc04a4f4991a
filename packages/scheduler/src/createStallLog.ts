import type { Logger } from "winston";

/** Time between two turns of the event loop from which on a line is logged, in milliseconds. */
const MIN_STALL_MS = 300;

/** The clocks of a process, in milliseconds. */
export type ProcessClocks = {
    /** Returns the monotonic time. */
    readonly clock: () => number;
    /** Returns the processor time that the process has used. */
    readonly cpuClock: () => number;
};

/**
 * Creates a function that logs a line if the event loop has stood still since its last call. Processor time close to
 * the duration shows that the process was at work; much less, that it was suspended or waited for a processor.
 *
 * @param log - The log.
 * @param clocks - The clocks of the process.
 * @returns The function, to be called at regular intervals far shorter than `MIN_STALL_MS`.
 *
 * @example
 * setInterval(createStallLog(log, { clock: () => performance.now(), cpuClock: getCpuMs }), 100).unref();
 */
export function createStallLog(log: Logger, { clock, cpuClock }: ProcessClocks): () => void {
    let lastAt = clock();
    let lastCpuMs = cpuClock();
    return () => {
        const now = clock();
        const cpuMs = cpuClock();
        if (now - lastAt >= MIN_STALL_MS) {
            log.info("The event loop stood still.", {
                tookMs: Math.round(now - lastAt),
                cpuMs: Math.round(cpuMs - lastCpuMs),
            });
        }
        lastAt = now;
        lastCpuMs = cpuMs;
    };
}
