/** Reason why a job cannot be placed at present. */
export type PlacementError =
    | { readonly kind: "no-free-accelerators"; readonly message: string }
    | { readonly kind: "no-adjacent-accelerators"; readonly message: string }
    | { readonly kind: "guarantee-in-use"; readonly message: string }
    | { readonly kind: "guarantee-short"; readonly message: string };
