import type { ResultAsync } from "neverthrow";

/** A key of the platform's store with its value. */
export type StoreItem = {
    readonly key: string;
    readonly value: Uint8Array;
    /** Store revision at which the value was last written. */
    readonly revision: number;
};

/** The write or removal of one key. */
export type StoreEvent = {
    readonly key: string;
    readonly revision: number;
    /** `undefined` if the value was removed. */
    readonly value: Uint8Array | undefined;
};

/** Items of a list, and the store's revision, from which a watch can continue. */
export type StoreListing = { readonly items: readonly StoreItem[]; readonly revision: number };

/** Events after a revision, and the revision from which the next watch continues. */
export type StoreEvents = { readonly events: readonly StoreEvent[]; readonly revision: number };

/** The revision that a key must have for a transaction to succeed; 0 if the key must be absent. */
export type StoreExpectation = { readonly key: string; readonly revision: number };

/** A value to write; with a lease, the key is removed when the lease ends. */
export type StorePut = { readonly key: string; readonly value: Uint8Array; readonly lease?: LeaseId };

/** Writes and removals that are applied atomically, provided that all expectations hold. */
export type StoreTransaction = {
    readonly expect: readonly StoreExpectation[];
    readonly puts: readonly StorePut[];
    readonly removals: readonly string[];
};

/** Id of a store lease. */
export type LeaseId = string & { readonly leaseId: unique symbol };

/** A store lease, and the time to live with which it was granted, in milliseconds. */
export type StoreLease = { readonly id: LeaseId; readonly ttlMs: number };

/** Errors of a store call. */
export type StoreError =
    /** The call failed and has had no effect. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The outcome is unknown: the call may have taken effect, or may still do so. */
    | { readonly kind: "unclear"; readonly message: string }
    /** An expectation does not hold; `items` holds the current values of the expected keys. */
    | { readonly kind: "conflict"; readonly message: string; readonly items: readonly StoreItem[] }
    /** The requested events are no longer retained. */
    | { readonly kind: "compacted"; readonly message: string }
    /** The lease has expired, or was ended. */
    | { readonly kind: "lease-ended"; readonly message: string }
    /** The store rejects the call as malformed, or its answer cannot be read. */
    | { readonly kind: "invalid"; readonly message: string };

/** Options of `FleetStore.list`. */
export type ListOptions = {
    /** Whether the list may be a few seconds out of date. */
    readonly stale?: boolean;
};

/** Client of the platform's store; each call has a deadline of its own. */
export type FleetStore = {
    readonly read: (key: string) => ResultAsync<StoreItem | undefined, StoreError>;
    readonly list: (prefix: string, options?: ListOptions) => ResultAsync<StoreListing, StoreError>;
    /** Applies a transaction and returns the revision at which it was applied. */
    readonly commit: (transaction: StoreTransaction) => ResultAsync<number, StoreError>;
    /** Waits up to `waitMs` milliseconds for events under a prefix after a revision. */
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
