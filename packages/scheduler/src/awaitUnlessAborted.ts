/**
 * Waits for a result, or until the signal aborts, whichever comes first. The work itself goes on after an abort.
 *
 * @param work - The result to wait for.
 * @param signal - Signal that ends the wait.
 * @param getSubstitute - Returns the result in case of an abort.
 * @returns The result of the work, or the substitute.
 *
 * @example
 * await awaitUnlessAborted(readItem(), signal, () => undefined);
 */
export function awaitUnlessAborted<T, S>(
    work: PromiseLike<T>,
    signal: AbortSignal,
    getSubstitute: () => S,
): Promise<T | S> {
    return new Promise((resolve, reject) => {
        const abort = (): void => resolve(getSubstitute());
        const release = (): void => signal.removeEventListener("abort", abort);
        if (signal.aborted) {
            abort();
        }
        signal.addEventListener("abort", abort, { once: true });
        work.then(
            result => {
                release();
                resolve(result);
            },
            (error: unknown) => {
                release();
                reject(error as Error);
            },
        );
    });
}
