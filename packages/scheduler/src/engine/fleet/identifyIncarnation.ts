import { OWNER_LEASE_TTL_MS } from "../../constants.js";
import type { ClockReading } from "../../state/WorkerEntry.js";
import { estimateClockMs } from "./workerClock.js";

/** Which incarnation of a worker has answered: the known one, a later one, or either. */
export type Incarnation = "known" | "later" | "either";

/**
 * Identifies the incarnation of a worker that has answered an order, by the clock reading in the answer.
 *
 * A later incarnation began after the call that the known one answered last, and its clock began at 0. The owner's own
 * clock may have stood still meanwhile, but for less than the time to live of its store lease, or its term has ended.
 *
 * @param lastReading - Last reading of the known incarnation's clock; `undefined` if there is none.
 * @param clockMs - The clock reading in the answer, in milliseconds.
 * @param sentAt - Monotonic time at which the order was sent, in milliseconds.
 * @param now - Monotonic time of the answer, in milliseconds.
 * @returns The incarnation.
 *
 * @example
 * identifyIncarnation({ clockMs: 60_000, sentAt: 0, readAt: 5 }, 1_500, 10_000, 10_005); // "later"
 */
export function identifyIncarnation(
    lastReading: ClockReading | undefined,
    clockMs: number,
    sentAt: number,
    now: number,
): Incarnation {
    if (lastReading === undefined) {
        return "either";
    }
    if (clockMs < Math.floor(estimateClockMs(lastReading, sentAt))) {
        return "later";
    }
    return clockMs > now - lastReading.sentAt + OWNER_LEASE_TTL_MS ? "known" : "either";
}
