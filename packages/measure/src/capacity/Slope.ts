import type { Line, Point } from "../_lib/fitLine.js";
import { fitLine } from "../_lib/fitLine.js";

/** A cost that was measured at several sizes. */
export type Slope = {
    readonly name: string;
    /** What a size counts, such as 'workers'. */
    readonly sizeUnit: string;
    readonly costUnit: string;
    readonly points: readonly Point[];
    readonly line: Line;
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
export function createSlope(
    name: string,
    sizeUnit: string,
    costUnit: string,
    points: readonly Point[],
): Slope {
    return { name, sizeUnit, costUnit, points, line: fitLine(points) };
}
