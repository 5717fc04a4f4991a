import type { CustomerId, JobId } from "@balsamward/schema";
import type { GangShape } from "./GangShape.js";

/** A job that waits for a placement. */
export type Candidate = {
    readonly job: JobId;
    readonly customer: CustomerId;
    readonly shape: GangShape;
    /** Larger is more urgent. */
    readonly urgency: number;
    /** Whether the job may be stopped to make room; a job that may not can only use a guarantee. */
    readonly preemptible: boolean;
};
