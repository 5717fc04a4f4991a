import { getExpectedRelativeRunTime } from "../state/getExpectedRelativeRunTime.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { RunTimeLimit } from "./RunTimeLimit.js";

/** Ratio of the relative run times in the centres of two neighbouring bands. */
const BAND_RATIO = 1.3;

const LOG_BAND_RATIO = Math.log(BAND_RATIO);

/**
 * Returns the band of a worker's expected relative run time. Workers of one band count as equally fast, so that small
 * differences do not impair best fit.
 *
 * @param worker - The worker.
 * @param limit - The limit of the step; without one, speeds do not matter and all workers are in band 0.
 * @returns The number of the band: 0 around the relative run time 1, larger for slower workers.
 */
export function getSpeedBand(worker: WorkerEntry, limit: RunTimeLimit | undefined): number {
    if (limit === undefined) {
        return 0;
    }
    const relativeRunTime = getExpectedRelativeRunTime(worker, limit.now);
    return relativeRunTime === 1 ? 0 : Math.round(Math.log(relativeRunTime) / LOG_BAND_RATIO);
}

/**
 * Returns the slowest band that is within a limit. A band as a whole is within it or beyond it, according to the
 * band's centre.
 *
 * @param limit - The limit of the step; without one, band 0 contains all workers.
 * @returns The number of the band; it may be infinite.
 */
export function getSlowestBandWithin(limit: RunTimeLimit | undefined): number {
    return limit === undefined
        ? 0
        : Math.floor(Math.log(Math.max(0, limit.maxRelativeRunTime)) / LOG_BAND_RATIO);
}

/**
 * Compares two bands by preference: those within the limit come first, the slowest of them before the others, so that
 * fast workers stay available for tight jobs. Of those beyond it, the fastest come first.
 *
 * @param left - The first band.
 * @param right - The second band.
 * @param slowestBand - The slowest band within the limit.
 * @returns A negative number if the first band is preferred.
 */
export function compareBands(left: number, right: number, slowestBand: number): number {
    if (left <= slowestBand && right <= slowestBand) {
        return right - left;
    }
    return left - right;
}
