import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import type { FleetStore, LeaseId, StoreError, StoreLease } from "../ports/FleetStore.js";

/** Least time for which what is stored under a shared lease is kept, in milliseconds. */
const MIN_KEPT_MS = 240_000;

/** Time for which a lease is used for further values, in milliseconds. */
const SHARING_MS = 60_000;

/** A store lease under which many values are stored, so that they cost one lease together. */
export type SharedLease = {
    /** Returns a lease that lasts for at least `MIN_KEPT_MS`, unless the store grants none that does. */
    readonly get: () => Promise<Result<LeaseId, StoreError>>;
    /** Gives up a lease that has ended before its time. */
    readonly discard: (lease: LeaseId) => void;
};

/**
 * Creates a shared lease. It is never renewed: the store removes the values of a lease together once it has ended,
 * whatever has become of the daemon that stored them.
 *
 * @param store - The store that grants the leases.
 * @param clock - Returns the monotonic time in milliseconds.
 * @returns The shared lease; the store is called on first use.
 *
 * @example
 * const lease = await createSharedLease(store, () => performance.now()).get();
 */
export function createSharedLease(store: FleetStore, clock: () => number): SharedLease {
    let current: StoreLease & { readonly requestedAt: number } | undefined;
    let request: Promise<Result<LeaseId, StoreError>> | undefined;
    const requestLease = async (): Promise<Result<LeaseId, StoreError>> => {
        const requestedAt = clock();
        const granted = await store.grantLease(MIN_KEPT_MS + SHARING_MS);
        request = undefined;
        return granted.map(lease => {
            current = { ...lease, requestedAt };
            return lease.id;
        });
    };
    return {
        get: async () => {
            if (current !== undefined && clock() - current.requestedAt + MIN_KEPT_MS <= current.ttlMs) {
                return ok(current.id);
            }
            request ??= requestLease();
            return request;
        },
        discard: lease => {
            if (current?.id === lease) {
                current = undefined;
            }
        },
    };
}
