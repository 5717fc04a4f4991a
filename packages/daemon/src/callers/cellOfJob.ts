import type { CellId, JobId } from "@balsamward/schema";

/**
 * Returns the cell of a job, which is the part of the job's id before the last hyphen.
 *
 * @param id - The job's id.
 * @returns The cell's id.
 *
 * @example
 * cellOfJob(id); // "recife-c0"
 */
export function cellOfJob(id: JobId): CellId {
    return id.slice(0, id.lastIndexOf("-")) as CellId;
}
