import type { CostCurve } from "./capacity/CostCurve.js";
import { measureCellState } from "./capacity/measureCellState.js";
import { measureDocument } from "./capacity/measureDocument.js";
import { measurePeers } from "./capacity/measurePeers.js";
import { measureWorkers } from "./capacity/measureWorkers.js";
import type { Report } from "./Report.js";

/**
 * Measures how the costs of daemons and documents grow with the number of customers, workers, tasks and daemons.
 *
 * @returns The report with one row per cost curve: fitted line, maximum relative error and measured points.
 */
export async function measureCapacity(): Promise<Report> {
    const curves = [
        ...measureDocument(),
        ...measureCellState(),
        ...await measurePeers(),
        ...await measureWorkers(),
    ];
    return { name: "capacity", failed: false, rows: curves.map(formatCurve) };
}

function formatCurve({ name, sizeUnit, costUnit, points, fit }: CostCurve): readonly string[] {
    const measured = points.map(point => `${point.x}: ${formatNumber(point.y)}`).join(", ");
    return [
        `${name} by ${sizeUnit} (${costUnit})`,
        `${formatNumber(fit.intercept)} + ${formatNumber(fit.slope)} each`,
        `error ${(fit.maxRelativeError * 100).toFixed(1)}%`,
        `[${measured}]`,
    ];
}

function formatNumber(value: number): string {
    return Number(value.toPrecision(3)).toString();
}
