import type { WorkerId } from "@balsamward/schema";

/** A worker as the placement sees it. */
export type CellWorker = {
    readonly id: WorkerId;
    /** Number of the worker's rack within its data centre, from 0. */
    readonly rack: number;
    /** Number of accelerators, at most 16. */
    readonly accelerators: number;
};
