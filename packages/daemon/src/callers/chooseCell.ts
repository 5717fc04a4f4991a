import type { NominalCell } from "@balsamward/placement";
import { createCell, findPlacement, shapeFits } from "@balsamward/placement";
import type { GangShape, GuaranteeUnit } from "@balsamward/placement";
import type { CellId, CellSummary, CustomerId, Kind } from "@balsamward/schema";
import type { ActiveConfiguration } from "../_lib/ActiveConfiguration.js";

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
 * @param activeConfiguration - The configuration in force.
 * @param summaries - What the owners last said of their cells.
 * @param request - The job.
 * @returns The cell, or `undefined` if no cell can ever hold the job.
 *
 * @example
 * chooseCell(activeConfiguration, summaries, { customer, kind, shape });
 */
export function chooseCell(
    activeConfiguration: ActiveConfiguration,
    summaries: readonly CellSummary[],
    request: CellRequest,
): CellId | undefined {
    const eligibleCells = activeConfiguration.cells.filter(cell =>
        canHold(activeConfiguration, cell, request)
    );
    const rankedCells = eligibleCells
        .map(cell => ({ id: cell.id, score: scoreCell(activeConfiguration, summaries, request, cell.id) }))
        .sort((left, right) => right.score - left.score);
    return rankedCells[0]?.id;
}

function canHold(
    activeConfiguration: ActiveConfiguration,
    nominal: NominalCell,
    request: CellRequest,
): boolean {
    if (!request.kind.preemptible) {
        return findFittingGuarantees(activeConfiguration, nominal.id, request).length > 0;
    }
    const cell = createCell(nominal.workers);
    return findPlacement(cell.topology, cell.healthy, request.shape) !== undefined;
}

function findFittingGuarantees(
    activeConfiguration: ActiveConfiguration,
    cell: CellId,
    request: CellRequest,
): readonly GuaranteeUnit[] {
    return (activeConfiguration.guaranteeDivision.get(cell) ?? []).filter(unit =>
        unit.customer === request.customer && shapeFits(request.shape, unit.shape)
    );
}

function scoreCell(
    activeConfiguration: ActiveConfiguration,
    summaries: readonly CellSummary[],
    request: CellRequest,
    cell: CellId,
): number {
    const summary = summaries.find(candidate => candidate.cell === cell);
    if (summary === undefined) {
        return -1;
    }
    const guaranteeNames = new Set(
        findFittingGuarantees(activeConfiguration, cell, request).map(unit => unit.guarantee as string),
    );
    const hasUnusedGuarantee = summary.unused.some(unused =>
        unused.customer === request.customer && guaranteeNames.has(unused.guarantee)
    );
    const freePerQueuedJob = summary.freeAccelerators / (1 + summary.queuedJobs);
    return (hasUnusedGuarantee ? Number.MAX_SAFE_INTEGER / 2 : 0) + freePerQueuedJob;
}
