import { measureDocument } from "./capacity/measureDocument.js";
import { measurePeers } from "./capacity/measurePeers.js";
import { measureState } from "./capacity/measureState.js";
import { measureWorkers } from "./capacity/measureWorkers.js";
import type { Slope } from "./capacity/Slope.js";
import type { Report } from "./Report.js";

/**
 * Measures how the costs of each role grow with workers, tasks, daemons, customers and documents.
 *
 * @returns The slopes, each with its points, its fit and the fit's error.
 */
export async function measureCapacity(): Promise<Report> {
    const slopes = [
        ...measureDocument(),
        ...measureState(),
        ...await measurePeers(),
        ...await measureWorkers(),
    ];
    return { name: "capacity", failed: false, rows: slopes.map(describeSlope) };
}

function describeSlope({ name, sizeUnit, costUnit, points, line }: Slope): readonly string[] {
    const measured = points.map(point => `${point.x}: ${format(point.y)}`).join(", ");
    return [
        `${name} by ${sizeUnit} (${costUnit})`,
        `${format(line.intercept)} + ${format(line.slope)} each`,
        `error ${(line.error * 100).toFixed(1)}%`,
        `[${measured}]`,
    ];
}

function format(value: number): string {
    return Number(value.toPrecision(3)).toString();
}
