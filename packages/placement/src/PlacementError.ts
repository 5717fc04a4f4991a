/** Why a job has no placement now. */
export type PlacementError =
    | { readonly kind: "no-free-accelerators"; readonly message: string }
    | { readonly kind: "no-adjacent-accelerators"; readonly message: string }
    | { readonly kind: "guarantee-in-use"; readonly message: string }
    | { readonly kind: "guarantee-short"; readonly message: string };
