/**
 * Starts a deadline.
 *
 * Input that has arrived by the deadline is read first: a process that was busy until then still gets an answer that
 * came in time.
 *
 * @param timeoutMs - Time until the deadline, in milliseconds.
 * @param onExpired - Called at the deadline, or when the signal aborts, with the reason; not called synchronously.
 * @param signal - Signal that ends the operation earlier.
 * @returns A function that stops the timer and releases the signal; must be called once the operation is over.
 *
 * @example
 * const endDeadline = startDeadline(500, error => request.destroy(error));
 * request.once("close", endDeadline);
 */
export function startDeadline(
    timeoutMs: number,
    onExpired: (reason: unknown) => void,
    signal?: AbortSignal,
): () => void {
    let isEnded = false;
    const expire = (reason: unknown): void => {
        if (!isEnded) {
            end();
            onExpired(reason);
        }
    };
    const abort = (): void => expire(signal?.reason);
    // Immediates run after the poll for input, timers before it.
    const timer = setTimeout(
        () => setImmediate(expire, new DOMException("The deadline has passed.", "TimeoutError")),
        timeoutMs,
    );
    const end = (): void => {
        isEnded = true;
        clearTimeout(timer);
        signal?.removeEventListener("abort", abort);
    };
    if (signal?.aborted) {
        setImmediate(abort);
    }
    signal?.addEventListener("abort", abort, { once: true });
    return end;
}
