import { setTimeout as sleep } from "node:timers/promises";
import { LEASE_MARGIN_MS, LEASE_RENEWAL_INTERVAL_MS, LEASE_TTL_MS } from "./constants.js";
import type { StoreTransport } from "./StoreTransport.js";

/** A lease of this daemon, whose validity is computed from the daemon's own monotonic clock. */
export type HeldLease = {
    readonly id: string;
    /** Returns whether the lease has certainly not expired. */
    readonly isValid: () => boolean;
};

/** Options of `holdLease`. */
export type HoldLeaseOptions = {
    /** Returns a monotonic time in milliseconds. Defaults to `performance.now`. */
    readonly clock?: () => number;
    /** Time to live of the lease in milliseconds. Defaults to `LEASE_TTL_MS`. */
    readonly ttlMs?: number;
    /** Interval in milliseconds between renewals. Defaults to `LEASE_RENEWAL_INTERVAL_MS`. */
    readonly renewalIntervalMs?: number;
    /** Waits for the given time in milliseconds, or until the signal aborts. */
    readonly pause?: (ms: number, signal: AbortSignal) => Promise<void>;
};

/**
 * Keeps a lease renewed until the signal aborts, and requests a new one whenever the lease is lost.
 *
 * The lease counts as valid for its time to live minus `LEASE_MARGIN_MS`, measured from just before the
 * last successful renewal was sent. A process that was suspended therefore sees an invalid lease when it
 * resumes, without asking the store.
 *
 * @param transport - The calls of the key-value service.
 * @param onLease - Called with each new lease.
 * @param signal - Stops the renewals; the lease is then revoked.
 * @param options - Clock, timer, time to live and renewal interval.
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
    const renewalIntervalMs = options.renewalIntervalMs ?? LEASE_RENEWAL_INTERVAL_MS;
    const pause = options.pause ?? sleepUnlessAborted;
    while (!signal.aborted) {
        let lastRenewalSentAt = clock();
        const granted = await transport.grantLease(ttlMs);
        if (granted.isErr()) {
            await pause(renewalIntervalMs / 2, signal);
            continue;
        }
        let ended = false;
        const isValid = () => !ended && clock() < lastRenewalSentAt + ttlMs - LEASE_MARGIN_MS;
        onLease({ id: granted.value, isValid });
        while (!signal.aborted && !ended) {
            await pause(renewalIntervalMs, signal);
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
