import { CLAIM_LEASE_ROTATION_MS, CLAIM_RETENTION_MS } from "@balsamward/coordination";
import type { DaemonState } from "../DaemonState.js";

/**
 * Returns the lease with which new claims end, and takes a new one after a while.
 *
 * Many claims share a lease, so that keeping them costs no store calls.
 *
 * @param state - The daemon.
 * @returns The lease, or `undefined` if the store is not available.
 *
 * @example
 * const lease = await ensureClaimLease(state);
 */
export async function ensureClaimLease(state: DaemonState): Promise<string | undefined> {
    const now = Date.now();
    if (state.claimLease === undefined || now - state.claimLease.grantedAt > CLAIM_LEASE_ROTATION_MS) {
        const grantedLease = await state.store.transport.grantLease(
            CLAIM_RETENTION_MS + CLAIM_LEASE_ROTATION_MS,
        );
        if (grantedLease.isErr()) {
            return undefined;
        }
        state.claimLease = { id: grantedLease.value, grantedAt: now };
    }
    return state.claimLease.id;
}
