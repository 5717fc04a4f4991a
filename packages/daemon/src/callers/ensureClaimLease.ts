import { CLAIM_LEASE_ROTATION_INTERVAL_MS, CLAIM_RETENTION_MS } from "@balsamward/coordination";
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
    if (state.claimLease === undefined || now - state.claimLease.takenAt > CLAIM_LEASE_ROTATION_INTERVAL_MS) {
        const granted = await state.store.transport.grantLease(
            CLAIM_RETENTION_MS + CLAIM_LEASE_ROTATION_INTERVAL_MS,
        );
        if (granted.isErr()) {
            return undefined;
        }
        state.claimLease = { id: granted.value, takenAt: now };
    }
    return state.claimLease.id;
}
