import type { QueueName } from "../ids.js";

/** Run times of tasks, learnt by queue. */
export type RunTimePredictor = {
    /** Notes how long a whole run took, beside its estimate, both in milliseconds. */
    readonly observe: (queue: QueueName, estimatedMs: number, actualMs: number) => void;
    /** Returns the expected run time in milliseconds. */
    readonly predict: (queue: QueueName, estimatedMs: number) => number;
};

/** Mean and variance of logarithms, begun from a guess that counts as some observations. */
type LogStatistics = { count: number; mean: number; variance: number };

type QueueHistory = { readonly actual: LogStatistics; readonly ratio: LogStatistics };

/** Observations that the first guess of a variance counts as. */
const PRIOR_COUNT = 3;

/** First guess of the variance of the logarithm of run times. */
const PRIOR_ACTUAL_VARIANCE = 0.25;

/** First guess of the variance of the logarithm of run times over their estimates. */
const PRIOR_RATIO_VARIANCE = 0.5;

/** Weight of the newest observation once many were made. */
const MIN_LEARNING_RATE = 0.02;

/**
 * Creates run times without observations, which predict the estimates.
 *
 * A prediction weighs the queue's usual run time against the corrected estimate, each by how well it
 * predicted the runs so far.
 *
 * @returns The run times.
 *
 * @example
 * const times = createRunTimePredictor();
 * times.observe(queue, 1_000, 6_800);
 * times.predict(queue, 2_000); // nearer to 6 800 than the estimate is
 */
export function createRunTimePredictor(): RunTimePredictor {
    const histories = new Map<QueueName, QueueHistory>();
    return {
        observe: (queue, estimatedMs, actualMs) => {
            if (estimatedMs <= 0 || actualMs <= 0) {
                return;
            }
            const history = histories.get(queue) ?? {
                actual: { count: 0, mean: 0, variance: PRIOR_ACTUAL_VARIANCE },
                ratio: { count: 0, mean: 0, variance: PRIOR_RATIO_VARIANCE },
            };
            histories.set(queue, history);
            updateStatistics(history.actual, Math.log(actualMs));
            updateStatistics(history.ratio, Math.log(actualMs / estimatedMs));
        },
        predict: (queue, estimatedMs) => {
            const history = histories.get(queue);
            if (history === undefined) {
                return estimatedMs;
            }
            const { actual, ratio } = history;
            if (estimatedMs <= 0) {
                return Math.exp(actual.mean);
            }
            const actualWeight = 1 / actual.variance;
            const ratioWeight = 1 / ratio.variance;
            const correctedEstimate = Math.log(estimatedMs) + ratio.mean;
            return Math.exp(
                (actual.mean * actualWeight + correctedEstimate * ratioWeight) / (actualWeight + ratioWeight),
            );
        },
    };
}

function updateStatistics(statistics: LogStatistics, value: number): void {
    statistics.count += 1;
    const rate = Math.max(MIN_LEARNING_RATE, 1 / statistics.count);
    const deviation = value - statistics.mean;
    statistics.mean += rate * deviation;
    const varianceRate = Math.max(MIN_LEARNING_RATE, 1 / (statistics.count + PRIOR_COUNT));
    if (statistics.count > 1) {
        statistics.variance += varianceRate * (deviation ** 2 - statistics.variance);
    }
}
