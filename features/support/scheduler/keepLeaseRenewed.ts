import { LEASE_RENEWAL_INTERVAL_MS } from "../../../packages/scheduler/src/constants.js";
import type { FakeClock } from "../FakeClock.js";
import type { SuspendableClock } from "../SuspendableClock.js";
import type { StoreLease } from "./StoreLease.js";

/** Options of `keepLeaseRenewed`. */
export type KeepLeaseRenewedOptions = {
    /** Clock of the owner's process. */
    readonly clock: SuspendableClock;
    /** The clock that the test advances. */
    readonly baseClock: FakeClock;
    /** Returns whether the owner's term is the latest. */
    readonly isLatestTerm: () => boolean;
    /** Aborts at the end of the term. */
    readonly signal: AbortSignal;
};

/**
 * Renews an owner's lease in the background until another term begins, also while the store is down for everyone.
 *
 * @param options - The clocks, and how the end is known.
 * @returns The lease; each renewal changes it.
 */
export function keepLeaseRenewed(
    { clock, baseClock, isLatestTerm, signal }: KeepLeaseRenewedOptions,
): StoreLease {
    const lease = { heldAt: clock.now, renewedAt: baseClock.now };
    const renew = async (): Promise<void> => {
        while (!signal.aborted) {
            await clock.pause(LEASE_RENEWAL_INTERVAL_MS, signal);
            if (!signal.aborted && isLatestTerm()) {
                lease.heldAt = clock.now;
                lease.renewedAt = baseClock.now;
            }
        }
    };
    void renew();
    return lease;
}
