import type { WorkerEntry } from "../../state/WorkerEntry.js";

/**
 * Marks that a worker may have restarted: it gets no starts until its next answer to a hold shows which incarnation is
 * there.
 *
 * @param worker - The worker.
 * @param now - Monotonic time in milliseconds.
 */
export function awaitIncarnation(worker: WorkerEntry, now: number): void {
    worker.hasAnswered = false;
    worker.silentSince ??= now;
    worker.wakeSignal.notify();
}
