import { CLAIM_LEASE_ROTATION_INTERVAL_MS, CLAIM_RETENTION_MS } from "@balsamward/coordination";
import type { DaemonState } from "../DaemonState.js";

/**
 * Returns the store lease that new claims are attached to, and grants a new one when it is due.
 *
 * Claims expire with their lease. Many claims share a lease, so that keeping them needs no further store
 * calls; the lease is replaced every `CLAIM_LEASE_ROTATION_INTERVAL_MS`.
 *
 * @param state - The daemon's state.
 * @returns The lease's id, or `undefined` if the store is not available.
 *
 * @example
 * const lease = await ensureClaimLease(state);
 */
export async function ensureClaimLease(state: DaemonState): Promise<string | undefined> {
    const now = Date.now();
    if (
        state.claimLease === undefined || now - state.claimLease.grantedAt > CLAIM_LEASE_ROTATION_INTERVAL_MS
    ) {
        const grantedLease = await state.store.transport.grantLease(
            CLAIM_RETENTION_MS + CLAIM_LEASE_ROTATION_INTERVAL_MS,
        );
        if (grantedLease.isErr()) {
            return undefined;
        }
        state.claimLease = { id: grantedLease.value, grantedAt: now };
    }
    return state.claimLease.id;
}
