import type { WorkerId } from "@balsamward/schema";

/** Accelerators of one worker that a gang takes. */
export type WorkerPlacement = {
    readonly worker: WorkerId;
    /** Bit i stands for accelerator i of the worker. */
    readonly accelerators: number;
    /** Number of members of the gang on the worker. */
    readonly members: number;
};

/** Accelerators that a whole gang takes, at most one entry for each worker. */
export type Placement = readonly WorkerPlacement[];
