import { measureFragmentation } from "@balsamward/placement";
import type { CellSummary } from "@balsamward/schema";
import { CellSummarySchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { CellRuntime } from "./CellRuntime.js";
import { isQueued } from "./rebuildCell.js";

/**
 * Summarizes the free capacity of a cell for daemons that choose a cell for a job.
 *
 * @param runtime - The cell's runtime.
 * @returns The free accelerators, the number of queued jobs and the unused guarantees.
 *
 * @example
 * summarizeCell(runtime).freeAccelerators;
 */
export function summarizeCell(runtime: CellRuntime): CellSummary {
    const unused = new Map<string, { customer: string; guarantee: string; gangs: number }>();
    for (const { gang, job, slot } of runtime.cell.bindings) {
        if (job === undefined && slot !== undefined) {
            const key = `${gang.customer} ${gang.guarantee}`;
            const gangs = (unused.get(key)?.gangs ?? 0) + 1;
            unused.set(key, { customer: gang.customer, guarantee: gang.guarantee, gangs });
        }
    }
    return create(CellSummarySchema, {
        cell: runtime.context.id,
        freeAccelerators: measureFragmentation(runtime.cell).freeAccelerators,
        queuedJobs: [...runtime.jobs.values()].filter(isQueued).length,
        unused: [...unused.values()],
    });
}
