/** Why a store call gave no usable result. */
export type StoreError =
    /** The call took no effect. */
    | { readonly kind: "unavailable"; readonly message: string }
    /** The write may or may not have taken effect. */
    | { readonly kind: "unclear"; readonly message: string }
    /** The value has another revision than expected. */
    | { readonly kind: "conflict"; readonly message: string; readonly revision: number }
    /** The lease does not exist any more. */
    | { readonly kind: "lease-lost"; readonly message: string }
    /** The value is larger than the store takes. */
    | { readonly kind: "too-large"; readonly message: string }
    /** The value was written by a newer program or is damaged. */
    | { readonly kind: "unreadable"; readonly message: string }
    /** The watch asked for changes that the store has dropped. */
    | { readonly kind: "compacted"; readonly message: string };
