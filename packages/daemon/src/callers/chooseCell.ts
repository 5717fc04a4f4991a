import type { ConfiguredCell } from "@balsamward/placement";
import { createCell, findPlacement, shapeFits } from "@balsamward/placement";
import type { GangShape, GuaranteedGang } from "@balsamward/placement";
import type { CellId, CellSummary, CustomerId, Kind } from "@balsamward/schema";
import type { Configured } from "../_lib/Configured.js";

/** A job as it asks for a cell. */
export type CellRequest = {
    readonly customer: CustomerId;
    readonly kind: Kind;
    readonly shape: GangShape;
};

/**
 * Chooses the cell of a job.
 *
 * A cell with an unused guarantee of the customer that fits goes first, then the one with the most
 * free accelerators for each waiting job. What owners said of their cells may be late; a cell that
 * turns out full lets the job wait.
 *
 * @param configured - The configuration in force.
 * @param summaries - What the owners last said of their cells.
 * @param request - The job.
 * @returns The cell, or `undefined` if no cell can ever hold the job.
 *
 * @example
 * chooseCell(configured, summaries, { customer, kind, shape });
 */
export function chooseCell(
    configured: Configured,
    summaries: readonly CellSummary[],
    request: CellRequest,
): CellId | undefined {
    const able = configured.cells.filter(cell => canHold(configured, cell, request));
    const ranked = able
        .map(cell => ({ id: cell.id, score: scoreCell(configured, summaries, request, cell.id) }))
        .sort((left, right) => right.score - left.score);
    return ranked[0]?.id;
}

function canHold(configured: Configured, nominal: ConfiguredCell, request: CellRequest): boolean {
    if (!request.kind.preemptible) {
        return fittingUnits(configured, nominal.id, request).length > 0;
    }
    const cell = createCell(nominal.workers);
    return findPlacement(cell.topology, cell.healthyAccelerators, request.shape) !== undefined;
}

function fittingUnits(configured: Configured, cell: CellId, request: CellRequest): readonly GuaranteedGang[] {
    return (configured.division.get(cell) ?? []).filter(unit =>
        unit.customer === request.customer && shapeFits(request.shape, unit.shape)
    );
}

function scoreCell(
    configured: Configured,
    summaries: readonly CellSummary[],
    request: CellRequest,
    cell: CellId,
): number {
    const summary = summaries.find(candidate => candidate.cell === cell);
    if (summary === undefined) {
        return -1;
    }
    const names = new Set(fittingUnits(configured, cell, request).map(unit => unit.guarantee as string));
    const guaranteed = summary.unused.some(unused =>
        unused.customer === request.customer && names.has(unused.guarantee)
    );
    const room = summary.freeAccelerators / (1 + summary.queuedJobs);
    return (guaranteed ? Number.MAX_SAFE_INTEGER / 2 : 0) + room;
}
