/** A measured value `y` at a size `x`. */
export type Point = { readonly x: number; readonly y: number };

/** A straight line fitted to measured points. */
export type LinearFit = {
    readonly slope: number;
    readonly intercept: number;
    /** Largest absolute residual, as a fraction of the largest absolute measured value. */
    readonly maxRelativeError: number;
};

/**
 * Fits a straight line to points by the method of least squares.
 *
 * @param points - The points; at least two of them differ in `x`.
 * @returns The line and its maximum relative error.
 */
export function fitLine(points: readonly Point[]): LinearFit {
    const meanX = mean(points.map(point => point.x));
    const meanY = mean(points.map(point => point.y));
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const largestValue = Math.max(...points.map(point => Math.abs(point.y)), Number.MIN_VALUE);
    const residuals = points.map(point => Math.abs(point.y - intercept - slope * point.x));
    return { slope, intercept, maxRelativeError: Math.max(...residuals) / largestValue };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
