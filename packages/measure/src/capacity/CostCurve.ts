import type { LinearFit, Point } from "../_lib/fitLine.js";
import { fitLine } from "../_lib/fitLine.js";

/** A cost that was measured at several sizes. */
export type CostCurve = {
    readonly name: string;
    /** What a size counts, such as 'workers'. */
    readonly sizeUnit: string;
    readonly costUnit: string;
    readonly points: readonly Point[];
    readonly fit: LinearFit;
};

/**
 * Creates a slope from measured points.
 *
 * @param name - What was measured.
 * @param sizeUnit - What a size counts.
 * @param costUnit - Unit of the cost.
 * @param points - The measured points.
 * @returns The slope with its fitted line.
 */
export function createCostCurve(
    name: string,
    sizeUnit: string,
    costUnit: string,
    points: readonly Point[],
): CostCurve {
    return { name, sizeUnit, costUnit, points, fit: fitLine(points) };
}
