/** Statistics of logarithms. */
export type LogStatistics = {
    readonly median: number;
    /** Usual absolute deviation from the median. */
    readonly spread: number;
    /** Share of the latest values above the median less the share below it. */
    readonly balance: number;
};

/** What is known of the run times of a group of runs. All times are logarithms of milliseconds. */
export type RunTimeLevel = {
    /** Number of observed runs; grows up to the number that the latest runs count as. */
    readonly count: number;
    /** Run times. */
    readonly actual: LogStatistics;
    /** Ratios of run times to their estimates. */
    readonly ratio: LogStatistics;
    /** 90th percentile of the ratios of run times to the forecast median. */
    readonly high: number;
};

/** One observed run. */
export type ObservedRunTime = {
    readonly logMs: number;
    /** Logarithm of the estimate; `undefined` if there was none. */
    readonly logEstimatedMs: number | undefined;
    /** Logarithm of the median that was forecast. */
    readonly logForecastMs: number;
    /** Number of runs that the observation counts as, at most 1. */
    readonly weight: number;
};

/** Number of runs after which all estimates are means of the latest runs, so that a shift of the load is followed. */
const MAX_COUNT = 50;

/** Number of runs up to which the median is estimated by the mean. */
const MEAN_COUNT = 4;

/** Multiple of the spread up to which a deviation moves the median, so that stragglers move it little. */
const CLIPPED_SPREADS = 0.5;

/** Factor by which clipped deviations move the median further, since clipping shortens them. */
const CLIPPING_GAIN = 2.5;

/** Multiple of the spread up to which a deviation counts in the spread, so that stragglers change it little. */
const MAX_SPREADS = 2;

/** Weight of the latest value in the balance. */
const BALANCE_RATE = 0.1;

/** Balance beyond which the load has shifted, so that deviations are not clipped. */
const SHIFTED_BALANCE = 0.7;

/** Lower bound of the spread. */
const MIN_SPREAD = 0.02;

/** Share of the runs that the high quantile covers. */
const HIGH_SHARE = 0.9;

/** Step of the estimate of the high quantile at a count of 1; about the inverse density of the deviations there. */
const HIGH_STEP = 3;

/** Lower bound of the count that determines the step of the high quantile. */
const MIN_HIGH_COUNT = 5;

/** Lower bound of the logarithm of the ratio of the high quantile to the median. */
const MIN_HIGH = 0.05;

/** Number of runs that the more general level counts as when two levels are combined. */
const FALLBACK_COUNT = 2;

/** The same for the high quantile, for which more runs are needed. */
const HIGH_FALLBACK_COUNT = 10;

/** The level above all others: estimates are right in the median and off by up to half. */
export const ESTIMATE_LEVEL: RunTimeLevel = {
    count: 0,
    actual: { median: 0, spread: 0.5, balance: 0 },
    ratio: { median: 0, spread: 0.3, balance: 0 },
    high: 0.6,
};

/**
 * Updates a level by an observed run.
 *
 * @param level - The level.
 * @param observed - The run.
 * @returns The updated level.
 */
export function updateLevel(level: RunTimeLevel, observed: ObservedRunTime): RunTimeLevel {
    const { logMs, logEstimatedMs, logForecastMs, weight } = observed;
    const count = Math.min(MAX_COUNT, level.count + weight);
    const rate = Math.min(1, weight / count);
    const highStep = HIGH_STEP * weight / Math.max(MIN_HIGH_COUNT, count);
    const isWithinHigh = logMs <= logForecastMs + level.high;
    return {
        count,
        actual: updateStatistics(level.actual, logMs, rate, count),
        ratio: logEstimatedMs === undefined
            ? level.ratio
            : updateStatistics(level.ratio, logMs - logEstimatedMs, rate, count),
        high: Math.max(MIN_HIGH, level.high + highStep * (HIGH_SHARE - (isWithinHigh ? 1 : 0))),
    };
}

/**
 * Combines a level with a more general one, by the number of runs that it has.
 *
 * @param general - The more general level, already combined with those above it.
 * @param level - The level; `undefined` if it has no runs.
 * @returns The combined level.
 */
export function combineLevels(general: RunTimeLevel, level: RunTimeLevel | undefined): RunTimeLevel {
    if (level === undefined) {
        return general;
    }
    const share = level.count / (level.count + FALLBACK_COUNT);
    const highShare = level.count / (level.count + HIGH_FALLBACK_COUNT);
    return {
        count: general.count + level.count,
        // The estimate says nothing about the run times of a queue of which none is known.
        actual: general.count === 0
            ? { ...level.actual, spread: mix(general.actual.spread, level.actual.spread, share) }
            : mixStatistics(general.actual, level.actual, share),
        ratio: mixStatistics(general.ratio, level.ratio, share),
        high: mix(general.high, level.high, highShare),
    };
}

function updateStatistics(
    { median, spread, balance }: LogStatistics,
    value: number,
    rate: number,
    count: number,
): LogStatistics {
    const deviation = value - median;
    if (count <= MEAN_COUNT) {
        return { median: median + rate * deviation, spread, balance };
    }
    const hasShifted = Math.abs(balance) > SHIFTED_BALANCE;
    const limit = hasShifted ? Number.POSITIVE_INFINITY : CLIPPED_SPREADS * spread;
    const clipped = Math.max(-limit, Math.min(limit, deviation));
    const spreadLimit = hasShifted ? Number.POSITIVE_INFINITY : MAX_SPREADS * spread;
    const clippedSpread = Math.min(spreadLimit, Math.abs(deviation));
    return {
        median: median + Math.min(1, CLIPPING_GAIN * rate) * clipped,
        spread: Math.max(MIN_SPREAD, spread + rate * (clippedSpread - spread)),
        balance: balance + BALANCE_RATE * (Math.sign(deviation) - balance),
    };
}

function mixStatistics(general: LogStatistics, own: LogStatistics, share: number): LogStatistics {
    return {
        median: mix(general.median, own.median, share),
        spread: mix(general.spread, own.spread, share),
        balance: own.balance,
    };
}

function mix(general: number, own: number, share: number): number {
    return general + share * (own - general);
}
