import type { ConfiguredCell } from "@balsamward/placement";
import { createCell, findPlacement, shapeFits } from "@balsamward/placement";
import type { GangShape, GuaranteedGang } from "@balsamward/placement";
import type { CellId, CellSummary, CustomerId, Kind } from "@balsamward/schema";
import type { ActiveConfiguration } from "../_lib/ActiveConfiguration.js";

/** The properties of a job that determine its cell. */
export type CellRequest = {
    readonly customer: CustomerId;
    readonly kind: Kind;
    readonly shape: GangShape;
};

/**
 * Chooses the cell that a new job is submitted to.
 *
 * Prefers cells in which the customer has an unused guarantee that fits the job, then the cell with the
 * most free accelerators per queued job. The summaries may be out of date; if the chosen cell turns out
 * to be full, the job waits in its queue.
 *
 * @param activeConfiguration - The configuration in force.
 * @param summaries - The latest known summaries of the cells.
 * @param request - The job.
 * @returns The cell's id, or `undefined` if no cell can ever hold the job.
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
    configuredCell: ConfiguredCell,
    request: CellRequest,
): boolean {
    if (!request.kind.preemptible) {
        return findFittingGuarantees(activeConfiguration, configuredCell.id, request).length > 0;
    }
    const cell = createCell(configuredCell.workers);
    return findPlacement(cell.topology, cell.healthyAccelerators, request.shape) !== undefined;
}

function findFittingGuarantees(
    activeConfiguration: ActiveConfiguration,
    cell: CellId,
    request: CellRequest,
): readonly GuaranteedGang[] {
    return (activeConfiguration.guaranteeDivision.get(cell) ?? []).filter(gang =>
        gang.customer === request.customer && shapeFits(request.shape, gang.shape)
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
        findFittingGuarantees(activeConfiguration, cell, request).map(gang => gang.guarantee as string),
    );
    const hasUnusedGuarantee = summary.unused.some(unused =>
        unused.customer === request.customer && guaranteeNames.has(unused.guarantee)
    );
    const freePerQueuedJob = summary.freeAccelerators / (1 + summary.queuedJobs);
    return (hasUnusedGuarantee ? Number.MAX_SAFE_INTEGER / 2 : 0) + freePerQueuedJob;
}
