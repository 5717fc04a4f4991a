import type { ResultAsync } from "neverthrow";

/** A value of the platform's store. */
export type StoreItem = {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the last write. */
    readonly revision: number;
};

/** A write or a removal. */
export type StoreEvent = {
    readonly key: string;
    readonly revision: number;
    /** `undefined` if the value was removed. */
    readonly value: Uint8Array | undefined;
};

/** A list of values, and the store's revision from which a watch can go on. */
export type StoreListing = { readonly items: readonly StoreItem[]; readonly revision: number };

/** Events after a revision, and the revision from which to go on. */
export type StoreEvents = { readonly events: readonly StoreEvent[]; readonly revision: number };

/** A revision that a key must have; 0 if it must be absent. */
export type StoreExpectation = { readonly key: string; readonly revision: number };

/** A value to write. */
export type StorePut = { readonly key: string; readonly value: Uint8Array; readonly lease?: LeaseId };

/** Writes and removals that happen all or not at all. */
export type StoreTransaction = {
    readonly expect: readonly StoreExpectation[];
    readonly puts: readonly StorePut[];
    readonly removals: readonly string[];
};

/** Id of a lease of the store. */
export type LeaseId = string & { readonly leaseId: unique symbol };

/** A lease and the time for which it was granted, in milliseconds. */
export type StoreLease = { readonly id: LeaseId; readonly ttlMs: number };

/** What can go wrong with a call of the store. */
export type StoreError =
    /** The call has had no effect. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The call may have had its effect, or may have it later. */
    | { readonly kind: "unclear"; readonly message: string }
    /** An expectation does not hold; `items` are the present values of the expected keys. */
    | { readonly kind: "conflict"; readonly message: string; readonly items: readonly StoreItem[] }
    /** The events are no longer kept. */
    | { readonly kind: "compacted"; readonly message: string }
    | { readonly kind: "lease-ended"; readonly message: string }
    /** The store does not take the call as it is. */
    | { readonly kind: "invalid"; readonly message: string };

/** Options of `FleetStore.list`. */
export type ListOptions = {
    /** Whether the list may be some seconds old. */
    readonly stale?: boolean;
};

/** Calls of the platform's store; each ends within a deadline of its own. */
export type FleetStore = {
    readonly read: (key: string) => ResultAsync<StoreItem | undefined, StoreError>;
    readonly list: (prefix: string, options?: ListOptions) => ResultAsync<StoreListing, StoreError>;
    /** Returns the revision of the change. */
    readonly commit: (transaction: StoreTransaction) => ResultAsync<number, StoreError>;
    /** Waits up to `waitMs` for events after a revision. */
    readonly watch: (
        prefix: string,
        after: number,
        waitMs: number,
        signal: AbortSignal,
    ) => ResultAsync<StoreEvents, StoreError>;
    readonly grantLease: (ttlMs: number) => ResultAsync<StoreLease, StoreError>;
    readonly renewLease: (lease: LeaseId) => ResultAsync<void, StoreError>;
    readonly endLease: (lease: LeaseId) => ResultAsync<void, StoreError>;
};
