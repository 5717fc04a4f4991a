import { setTimeout as sleep } from "node:timers/promises";
import { WATCH_RETRY_BACKOFF_MS, WATCH_RETRY_MAX_BACKOFF_MS, WATCH_WAIT_MS } from "./constants.js";
import type { RawChange, StoreTransport } from "./StoreTransport.js";

/** An event that a watch reports. */
export type WatchEvent =
    /** All values under the prefix; keys that are not listed do not exist. */
    | { readonly kind: "listing"; readonly values: readonly RawChange[] }
    | { readonly kind: "change"; readonly change: RawChange }
    /** A call failed, so that the reported values may be out of date until the next listing. */
    | { readonly kind: "lost"; readonly message: string };

/** Options of `watchPrefix`. */
export type WatchPrefixOptions = {
    /** Time in milliseconds that one call waits for a change. */
    readonly waitMs?: number;
    /** Returns a number from 0 to below 1, for jitter. */
    readonly random?: () => number;
};

/**
 * Watches the values under a prefix until the signal aborts.
 *
 * Starts with a listing, and lists again after every failed call, for instance when the store has
 * discarded changes. Each call has a timeout, so that a connection that has gone silent is noticed.
 * Failed calls are retried with exponential backoff and jitter.
 *
 * @param transport - The calls of the key-value service.
 * @param prefix - The prefix of the keys.
 * @param notify - Called with each event, in order.
 * @param signal - Stops the watch.
 * @param options - Wait of one call and source of jitter.
 *
 * @example
 * await watchPrefix(transport, "control/", event => events.push(event), signal);
 */
export async function watchPrefix(
    transport: StoreTransport,
    prefix: string,
    notify: (event: WatchEvent) => void,
    signal: AbortSignal,
    options: WatchPrefixOptions = {},
): Promise<void> {
    const random = options.random ?? Math.random;
    let afterRevision: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
        const result = afterRevision === undefined
            ? await listValues(transport, prefix, notify)
            : await pollChanges(
                transport,
                prefix,
                afterRevision,
                notify,
                signal,
                options.waitMs ?? WATCH_WAIT_MS,
            );
        if (signal.aborted) {
            return;
        }
        if (result.kind === "revision") {
            afterRevision = result.revision;
            failures = 0;
            continue;
        }
        afterRevision = result.mustRelist ? undefined : afterRevision;
        notify({ kind: "lost", message: result.message });
        const backoffMs = Math.min(WATCH_RETRY_MAX_BACKOFF_MS, WATCH_RETRY_BACKOFF_MS * 2 ** failures);
        failures += 1;
        await sleep(backoffMs * (0.5 + random() / 2), undefined, { signal }).catch(() => undefined);
    }
}

type WatchCallResult =
    | { readonly kind: "revision"; readonly revision: number }
    | { readonly kind: "failed"; readonly mustRelist: boolean; readonly message: string };

async function listValues(
    transport: StoreTransport,
    prefix: string,
    notify: (event: WatchEvent) => void,
): Promise<WatchCallResult> {
    const listing = await transport.list(prefix);
    if (listing.isErr()) {
        return { kind: "failed", mustRelist: true, message: listing.error.message };
    }
    notify({ kind: "listing", values: listing.value.values });
    return { kind: "revision", revision: listing.value.revision };
}

async function pollChanges(
    transport: StoreTransport,
    prefix: string,
    afterRevision: number,
    notify: (event: WatchEvent) => void,
    signal: AbortSignal,
    waitMs: number,
): Promise<WatchCallResult> {
    const polled = await transport.waitForChanges(prefix, afterRevision, waitMs, signal);
    if (polled.isErr()) {
        return { kind: "failed", mustRelist: true, message: polled.error.message };
    }
    for (const change of polled.value.changes) {
        notify({ kind: "change", change });
    }
    return { kind: "revision", revision: polled.value.revision };
}
