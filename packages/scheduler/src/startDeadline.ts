/** A deadline that runs until it is ended. */
export type Deadline = {
    /** Aborts at the deadline, or with the signal that was given. */
    readonly signal: AbortSignal;
    /** Ends the deadline; to be called once what it limits is over. */
    readonly end: () => void;
};

/**
 * Starts a deadline.
 *
 * Its timer holds on to it, unlike that of `AbortSignal.timeout`, which is lost in a garbage collection
 * once the signal is only reached through `AbortSignal.any`.
 *
 * @param timeoutMs - Time until the deadline in milliseconds.
 * @param signal - Aborts it earlier.
 * @returns The deadline.
 *
 * @example
 * const deadline = startDeadline(500);
 * await fetch(url, { signal: deadline.signal }).finally(deadline.end);
 */
export function startDeadline(timeoutMs: number, signal?: AbortSignal): Deadline {
    const controller = new AbortController();
    const abort = (): void => controller.abort(signal?.reason);
    const timer = setTimeout(() => {
        controller.abort(new DOMException("The deadline has passed.", "TimeoutError"));
    }, timeoutMs);
    if (signal?.aborted) {
        abort();
    }
    signal?.addEventListener("abort", abort, { once: true });
    return {
        signal: controller.signal,
        end: () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", abort);
        },
    };
}
