import type { WorkerId } from "@balsamward/schema";

/** The properties of a worker that placement uses. */
export type CellWorker = {
    readonly id: WorkerId;
    /** Zero-based index of the worker's rack within its data centre. */
    readonly rack: number;
    /** Number of accelerators, at most 16. */
    readonly accelerators: number;
};
