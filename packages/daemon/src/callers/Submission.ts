import type { CellId, Job } from "@balsamward/schema";

/** A job that a customer submits, and the cell that is to run it. */
export type Submission = { readonly cell: CellId; readonly job: Job };
