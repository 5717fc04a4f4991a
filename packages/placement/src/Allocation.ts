import type { CustomerId, GuaranteeId, JobId } from "@balsamward/schema";
import type { Placement } from "./Placement.js";

/** How a job holds its accelerators. */
export type Standing =
    | {
        readonly kind: "guaranteed";
        readonly guarantee: GuaranteeId;
        /** Place for the whole guaranteed gang; the job's own placement lies within it. */
        readonly slot: Placement;
    }
    | { readonly kind: "borrowed" };

/** Accelerators that a job holds in a cell. */
export type Allocation = {
    readonly job: JobId;
    readonly customer: CustomerId;
    /** Larger is more urgent. */
    readonly urgency: number;
    readonly standing: Standing;
    readonly placement: Placement;
};
