import type { WorkerId } from "@balsamward/schema";

/** Accelerators of one worker that are assigned to a gang. */
export type WorkerPlacement = {
    readonly worker: WorkerId;
    /** Bit mask in which bit i represents accelerator i of the worker. */
    readonly accelerators: number;
    /** Number of gang members on the worker. */
    readonly members: number;
};

/** Accelerators that are assigned to a whole gang, with at most one entry per worker. */
export type Placement = readonly WorkerPlacement[];
