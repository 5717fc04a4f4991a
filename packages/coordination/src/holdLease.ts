import { setTimeout as sleep } from "node:timers/promises";
import { LEASE_MARGIN_MS, LEASE_RENEWAL_MS, LEASE_TTL_MS } from "./constants.js";
import type { StoreTransport } from "./StoreTransport.js";

/** A lease that a daemon holds, judged by the daemon's own monotonic clock. */
export type HeldLease = {
    readonly id: string;
    /** Tells whether the lease is certain not to have ended. */
    readonly isValid: () => boolean;
};

/** Options of `holdLease`. */
export type HoldLeaseOptions = {
    /** Returns a monotonic time in milliseconds. */
    readonly clock?: () => number;
    readonly ttlMs?: number;
    readonly renewalMs?: number;
    /** Waits for a time in milliseconds, or until the signal aborts. */
    readonly pause?: (ms: number, signal: AbortSignal) => Promise<void>;
};

/**
 * Holds a lease until the signal aborts, and takes a new one whenever it ends.
 *
 * The lease counts as valid for its time to live, less a margin, from the moment before the last
 * renewal that succeeded was sent. A holder that was paused sees an invalid lease when it wakes.
 *
 * @param transport - The store's calls.
 * @param onLease - Receives each new lease.
 * @param signal - Ends the holding; the lease is then revoked.
 * @param options - Clock and times.
 *
 * @example
 * await holdLease(transport, lease => leases.push(lease), signal);
 */
export async function holdLease(
    transport: StoreTransport,
    onLease: (lease: HeldLease) => void,
    signal: AbortSignal,
    options: HoldLeaseOptions = {},
): Promise<void> {
    const clock = options.clock ?? (() => performance.now());
    const ttlMs = options.ttlMs ?? LEASE_TTL_MS;
    const renewalMs = options.renewalMs ?? LEASE_RENEWAL_MS;
    const pause = options.pause ?? sleepUnlessAborted;
    while (!signal.aborted) {
        let lastRenewalSentAt = clock();
        const granted = await transport.grantLease(ttlMs);
        if (granted.isErr()) {
            await pause(renewalMs / 2, signal);
            continue;
        }
        let ended = false;
        const isValid = () => !ended && clock() < lastRenewalSentAt + ttlMs - LEASE_MARGIN_MS;
        onLease({ id: granted.value, isValid });
        while (!signal.aborted && !ended) {
            await pause(renewalMs, signal);
            const renewalSentAt = clock();
            const renewed = await transport.renewLease(granted.value);
            if (renewed.isOk()) {
                lastRenewalSentAt = renewalSentAt;
            }
            ended = renewed.isErr() && renewed.error.kind === "lease-lost";
        }
        if (!ended) {
            await transport.revokeLease(granted.value);
        }
    }
}

async function sleepUnlessAborted(ms: number, signal: AbortSignal): Promise<void> {
    await sleep(ms, undefined, { signal }).catch(() => undefined);
}
