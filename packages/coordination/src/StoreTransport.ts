import type { ResultAsync } from "neverthrow";
import type { StoreError } from "./StoreError.js";

/** A value as the store holds it. */
export type RawValue = {
    readonly key: string;
    readonly revision: number;
    readonly bytes: Uint8Array;
};

/** A write or removal that a watch reports. */
export type RawChange = {
    readonly key: string;
    readonly revision: number;
    /** Absent if the value was removed. */
    readonly bytes: Uint8Array | undefined;
};

/** Values below a prefix at one revision of the store. */
export type RawListing = { readonly revision: number; readonly values: readonly RawValue[] };

/** Changes below a prefix up to one revision of the store. */
export type RawChanges = { readonly revision: number; readonly changes: readonly RawChange[] };

/** A compare-and-swap. */
export type RawWrite = {
    readonly key: string;
    readonly bytes: Uint8Array;
    /** Revision that the value must have; 0 if it must be absent. */
    readonly expectedRevision: number;
    /** Lease with which the value ends. */
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
