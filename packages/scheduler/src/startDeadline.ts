/** A running deadline. */
export type Deadline = {
    /** Aborts at the deadline, or when the given signal aborts. */
    readonly signal: AbortSignal;
    /** Stops the timer and releases the given signal; must be called once the limited operation is over. */
    readonly end: () => void;
};

/**
 * Starts a deadline.
 *
 * Input that has arrived by the deadline is read first: a process that was busy until then still gets an answer that
 * came in time.
 *
 * The timer keeps a reference to the controller. The signal of `AbortSignal.timeout` instead can be lost to garbage
 * collection once it is referenced only through `AbortSignal.any`, and then never aborts.
 *
 * @param timeoutMs - Time until the deadline, in milliseconds.
 * @param signal - Signal that aborts the deadline's signal earlier.
 * @returns The deadline.
 *
 * @example
 * const deadline = startDeadline(500);
 * await fetch(url, { signal: deadline.signal }).finally(deadline.end);
 */
export function startDeadline(timeoutMs: number, signal?: AbortSignal): Deadline {
    const controller = new AbortController();
    const abort = (): void => controller.abort(signal?.reason);
    let isEnded = false;
    const expire = (): void => {
        if (!isEnded) {
            controller.abort(new DOMException("The deadline has passed.", "TimeoutError"));
        }
    };
    // Immediates run after the poll for input, timers before it.
    const timer = setTimeout(() => setImmediate(expire), timeoutMs);
    if (signal?.aborted) {
        abort();
    }
    signal?.addEventListener("abort", abort, { once: true });
    return {
        signal: controller.signal,
        end: () => {
            isEnded = true;
            clearTimeout(timer);
            signal?.removeEventListener("abort", abort);
        },
    };
}
