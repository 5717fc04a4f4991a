import type { CustomerId, GuaranteeId, JobId } from "@balsamward/schema";
import type { Placement } from "./Placement.js";

/** Whether a job holds its accelerators under a guarantee or borrows them. */
export type Standing =
    | {
        readonly kind: "guaranteed";
        readonly guarantee: GuaranteeId;
        /** Accelerators reserved for the whole guaranteed gang; the job's placement lies within them. */
        readonly slot: Placement;
    }
    | { readonly kind: "borrowed" };

/** The accelerators that a job holds in a cell. */
export type Allocation = {
    readonly job: JobId;
    readonly customer: CustomerId;
    /** A larger number is more urgent. */
    readonly urgency: number;
    readonly standing: Standing;
    readonly placement: Placement;
};
