import type { LinearFit, Point } from "../_lib/fitLine.js";
import { fitLine } from "../_lib/fitLine.js";

/** A cost measured at several sizes, with a fitted line. */
export type CostCurve = {
    readonly name: string;
    /** Unit of the sizes, such as 'workers'. */
    readonly sizeUnit: string;
    readonly costUnit: string;
    readonly points: readonly Point[];
    readonly fit: LinearFit;
};

/**
 * Creates a cost curve from measured points and fits a line to them.
 *
 * @param name - The name of the measured cost.
 * @param sizeUnit - The unit of the sizes.
 * @param costUnit - The unit of the cost.
 * @param points - The measured points; at least two of them differ in size.
 * @returns The cost curve.
 */
export function createCostCurve(
    name: string,
    sizeUnit: string,
    costUnit: string,
    points: readonly Point[],
): CostCurve {
    return { name, sizeUnit, costUnit, points, fit: fitLine(points) };
}
