import type { ResultAsync } from "neverthrow";
import type { StoreError } from "./StoreError.js";

/** A stored value whose bytes are not decoded. */
export type RawValue = {
    readonly key: string;
    readonly revision: number;
    readonly bytes: Uint8Array;
};

/** A write or removal of a value, as reported by a watch. */
export type RawChange = {
    readonly key: string;
    readonly revision: number;
    /** Absent if the value was removed. */
    readonly bytes: Uint8Array | undefined;
};

/** All values under a prefix, as of one revision of the store. */
export type RawListing = { readonly revision: number; readonly values: readonly RawValue[] };

/** The changes under a prefix up to and including one revision of the store. */
export type RawChanges = { readonly revision: number; readonly changes: readonly RawChange[] };

/** A compare-and-swap write of an encoded value. */
export type RawWrite = {
    readonly key: string;
    readonly bytes: Uint8Array;
    /** Revision that the stored value must have; 0 if the key must not exist. */
    readonly expectedRevision: number;
    /** Lease at whose end the store removes the value; without one the value is kept. */
    readonly lease: string | undefined;
};

/** The calls of the platform's key-value service. */
export type StoreTransport = {
    readonly get: (key: string) => ResultAsync<RawValue | undefined, StoreError>;
    readonly list: (prefix: string) => ResultAsync<RawListing, StoreError>;
    readonly write: (write: RawWrite) => ResultAsync<number, StoreError>;
    readonly remove: (key: string, expectedRevision: number) => ResultAsync<void, StoreError>;
    readonly grantLease: (ttlMs: number) => ResultAsync<string, StoreError>;
    readonly renewLease: (lease: string) => ResultAsync<void, StoreError>;
    readonly revokeLease: (lease: string) => ResultAsync<void, StoreError>;
    readonly waitForChanges: (
        prefix: string,
        afterRevision: number,
        waitMs: number,
        signal: AbortSignal,
    ) => ResultAsync<RawChanges, StoreError>;
};
