import { measureFragmentation } from "@balsamward/placement";
import type { CellSummary } from "@balsamward/schema";
import { CellSummarySchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { CellBook } from "./CellBook.js";
import { isQueued } from "./rebuildCell.js";

/**
 * Summarizes what a cell can take, for the daemons that choose cells.
 *
 * @param book - The book.
 * @returns Free accelerators, waiting jobs and unused guarantees.
 *
 * @example
 * summarizeCell(book).freeAccelerators;
 */
export function summarizeCell(book: CellBook): CellSummary {
    const unused = new Map<string, { customer: string; guarantee: string; gangs: number }>();
    for (const { unit, user, slot } of book.cell.bindings) {
        if (user === undefined && slot !== undefined) {
            const key = `${unit.customer} ${unit.guarantee}`;
            const gangs = (unused.get(key)?.gangs ?? 0) + 1;
            unused.set(key, { customer: unit.customer, guarantee: unit.guarantee, gangs });
        }
    }
    return create(CellSummarySchema, {
        cell: book.context.id,
        freeAccelerators: measureFragmentation(book.cell).freeAccelerators,
        queuedJobs: [...book.jobs.values()].filter(isQueued).length,
        unused: [...unused.values()],
    });
}
