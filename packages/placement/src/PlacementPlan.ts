import type { JobId } from "@balsamward/schema";
import type { Standing } from "./Allocation.js";
import type { Placement } from "./Placement.js";

/** The placement of a job and the jobs that must be preempted first. */
export type PlacementPlan = {
    readonly placement: Placement;
    readonly standing: Standing;
    /** Borrowing jobs to preempt, because the placement uses their accelerators. */
    readonly victims: readonly JobId[];
};
