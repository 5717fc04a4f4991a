/** The reason why a store call failed. */
export type StoreError =
    /** The call had no effect. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The write may or may not have taken effect. */
    | { readonly kind: "unclear"; readonly message: string }
    /** The value does not have the expected revision; `revision` is its current one. */
    | { readonly kind: "conflict"; readonly message: string; readonly revision: number }
    /** The lease no longer exists. */
    | { readonly kind: "lease-lost"; readonly message: string }
    /** The value exceeds the store's size limit. */
    | { readonly kind: "too-large"; readonly message: string }
    /** The value is corrupted or has a newer schema version than this program supports. */
    | { readonly kind: "unreadable"; readonly message: string }
    /** The watch asked for changes that the store has already discarded. */
    | { readonly kind: "compacted"; readonly message: string };
