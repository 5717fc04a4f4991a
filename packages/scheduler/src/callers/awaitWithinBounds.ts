import { setImmediate as nextTurn } from "node:timers/promises";
import { awaitUnlessAborted } from "../awaitUnlessAborted.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";

const EXPIRED = Symbol("expired");

/**
 * Waits for a result until the caller's deadline, or until the call must be answered at once, whichever comes first.
 * The work itself goes on. A result that has arrived by the deadline is returned, also if the process was busy then.
 *
 * @param context - The services that the call uses.
 * @param work - The result to wait for.
 * @param bounds - The deadline, and the signal on which the call is answered by what is known.
 * @param getSubstitute - Returns the result if the wait ends before the work.
 * @returns The result of the work, or the substitute.
 *
 * @example
 * await awaitWithinBounds(context, context.store.read(key), bounds, () => undefined);
 */
export async function awaitWithinBounds<T, S>(
    context: CallContext,
    work: PromiseLike<T>,
    { deadline, signal }: CallBounds,
    getSubstitute: () => S,
): Promise<T | S> {
    const timer = new AbortController();
    const remainingMs = Math.max(0, deadline - context.cluster.clock());
    // Timers run before the poll for input, and the turn ends after it.
    const expiry = context.pause(remainingMs, timer.signal).then(() => nextTurn(EXPIRED));
    try {
        const result = await awaitUnlessAborted(Promise.race([work, expiry]), signal, () => EXPIRED);
        return result === EXPIRED ? getSubstitute() : result as T;
    }
    finally {
        timer.abort();
    }
}
