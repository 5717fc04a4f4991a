/** Largest number of orders in flight. */
export const MAX_WINDOW = 64;

/** Smallest number of orders in flight while orders stay unanswered: a few silent workers must not block the others. */
const MIN_UNANSWERED_WINDOW = 16;

/** Smallest number of orders in flight while answers are slow. */
const MIN_WINDOW = 2;

/** Time within which an order is answered while neither this process nor its link is overloaded, in milliseconds. */
const TARGET_LATENCY_MS = 100;

/** Growth of the window with each answer in time: by half within as many answers as it is large. */
const INCREASE = 0.5;

/** Factor by which a late answer reduces the window. */
const DECREASE_FACTOR = 0.9;

/** How an order that was sent ended: answered or not, and after which time. */
export type OrderTiming = {
    readonly isAnswered: boolean;
    /** Time from the send to the answer or the timeout, in milliseconds. */
    readonly elapsedMs: number;
};

/**
 * Returns the number of orders that may be in flight after one more has ended: additive increase while answers arrive
 * in time, multiplicative decrease otherwise.
 *
 * @param size - The number before, which need not be whole.
 * @param timing - How the order ended.
 * @returns The new number, between 2 and `MAX_WINDOW`.
 *
 * @example
 * adaptWindow(10, { isAnswered: true, elapsedMs: 5 }); // 10.5
 */
export function adaptWindow(size: number, { isAnswered, elapsedMs }: OrderTiming): number {
    if (isAnswered && elapsedMs <= TARGET_LATENCY_MS) {
        return Math.min(MAX_WINDOW, size + INCREASE);
    }
    const minimum = isAnswered ? MIN_WINDOW : Math.min(size, MIN_UNANSWERED_WINDOW);
    return Math.max(minimum, size * DECREASE_FACTOR);
}
