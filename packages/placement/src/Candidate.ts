import type { CustomerId, JobId } from "@balsamward/schema";
import type { GangShape } from "./GangShape.js";

/** A job that is waiting for a placement. */
export type Candidate = {
    readonly job: JobId;
    readonly customer: CustomerId;
    readonly shape: GangShape;
    /** A larger number is more urgent. */
    readonly urgency: number;
    /** Whether the job can be stopped to free its accelerators. If not, it can run only under a guarantee. */
    readonly preemptible: boolean;
};
