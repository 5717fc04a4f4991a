import type { CellId, JobId } from "@balsamward/schema";

/**
 * Returns the cell of a job, which its name holds.
 *
 * @param id - The job.
 * @returns The cell.
 *
 * @example
 * cellOfJob(id); // "recife-c0"
 */
export function cellOfJob(id: JobId): CellId {
    return id.slice(0, id.lastIndexOf("-")) as CellId;
}
