import type { Logger } from "winston";
import type { Pause } from "../pause.js";

/** Pause before a task that failed unexpectedly is run again, in milliseconds. */
const RESTART_PAUSE_MS = 500;

/** Options of `keepRunning`. */
export type KeepRunningOptions = {
    readonly log: Logger;
    readonly pause: Pause;
};

/**
 * Runs a task until it returns or the signal aborts; a task that throws is run again after a pause.
 *
 * @param name - Name of the task for the log.
 * @param task - The task.
 * @param signal - Ends the restarts.
 * @param options - Log for the errors, and the function that pauses.
 *
 * @example
 * await keepRunning("membership", () => runMembership(cluster, store, signal), signal, { log, pause });
 */
export async function keepRunning(
    name: string,
    task: () => Promise<void>,
    signal: AbortSignal,
    { log, pause }: KeepRunningOptions,
): Promise<void> {
    while (true) {
        try {
            await task();
            return;
        }
        catch (error) {
            log.error("A background task of the daemon fails unexpectedly and is run again.", {
                task: name,
                error: String((error as Error).stack),
            });
        }
        await pause(RESTART_PAUSE_MS, signal);
        if (signal.aborted) {
            return;
        }
    }
}
