import { WORKER_CLOCK_DRIFT } from "../../constants.js";
import type { ClockReading, WorkerEntry } from "../../state/WorkerEntry.js";

/**
 * Records the clock reading in an answer of the worker's known incarnation.
 *
 * @param worker - The worker.
 * @param reading - The clock reading.
 */
export function recordClock(worker: WorkerEntry, reading: ClockReading): void {
    worker.clock = reading;
    worker.unconfirmedClock ??= reading;
    worker.lastAnswerAt = reading.readAt;
}

/**
 * Replaces the confirmed reading of a worker's clock by a newer one after which the ownership was held too.
 *
 * @param worker - The worker.
 * @param heldAt - Latest monotonic time at which the ownership was certainly held, in milliseconds.
 */
export function confirmClock(worker: WorkerEntry, heldAt: number): void {
    const confirmed = [worker.clock, worker.unconfirmedClock].find(reading =>
        reading !== undefined && reading.readAt < heldAt
    );
    if (confirmed !== undefined) {
        worker.confirmedClock = confirmed;
        worker.unconfirmedClock = worker.clock;
    }
}

/**
 * Estimates the clock of a worker's known incarnation, never ahead of it: a lease that is too long would outlast what
 * a successor waits for.
 *
 * @param reading - A reading of the clock; `undefined` if there is none.
 * @param at - Monotonic time of the estimate, in milliseconds; it may be before the reading.
 * @returns The least that the clock reads at that time, in milliseconds; 0 without a reading.
 */
export function estimateClockMs(reading: ClockReading | undefined, at: number): number {
    if (reading === undefined) {
        return 0;
    }
    const elapsedMs = at - reading.readAt;
    return reading.clockMs + (elapsedMs > 0 ? elapsedMs * (1 - WORKER_CLOCK_DRIFT) : elapsedMs);
}
