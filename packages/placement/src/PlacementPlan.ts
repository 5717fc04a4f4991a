import type { JobId } from "@balsamward/schema";
import type { Standing } from "./Allocation.js";
import type { Placement } from "./Placement.js";

/** Where a job goes and which jobs must stop first. */
export type PlacementPlan = {
    readonly placement: Placement;
    readonly standing: Standing;
    /** Borrowing jobs whose accelerators the placement takes. */
    readonly victims: readonly JobId[];
};
