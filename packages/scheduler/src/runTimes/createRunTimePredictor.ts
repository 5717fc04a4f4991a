import type { StepEntry } from "../state/JobEntry.js";
import type { LevelTable } from "./createLevelTable.js";
import { createLevelTable } from "./createLevelTable.js";
import type { RunTimeLevel } from "./RunTimeLevel.js";
import { combineLevels, ESTIMATE_LEVEL } from "./RunTimeLevel.js";
import type { RunTimeForecast, RunTimePredictor } from "./RunTimePredictor.js";
import { LEVEL_NAMES } from "./RunTimePredictor.js";

type StepKeys = {
    /** Keys of the step's levels, in the order of `LEVEL_NAMES`. */
    readonly keys: readonly string[];
    forecast: RunTimeForecast;
    /** Number of observed runs at the time of the forecast. */
    forecastAfter: number;
};

/** Maximum numbers of levels in the tables, in the order of `LEVEL_NAMES`. */
const MAX_LEVEL_COUNTS = [64, 256, 256] as const;

/** Separates the parts of a key. */
const SEPARATOR = "\n";

/**
 * Creates a predictor without observations, which predicts the given estimates.
 *
 * A forecast combines the levels of a step: its kind (queue, image, resources and size of the gang), its customer in
 * its queue, its queue, and the estimate. Within the combined level, the median is a weighted mean of the usual run
 * time and the corrected estimate, each weighted by how well it predicted the runs so far.
 *
 * @returns The predictor.
 *
 * @example
 * const predictor = createRunTimePredictor();
 * predictor.observe(step, 6_800, now);
 * predictor.forecast(similarStep).medianMs; // closer to 6 800 than the estimate
 */
export function createRunTimePredictor(): RunTimePredictor {
    const tables = MAX_LEVEL_COUNTS.map(createLevelTable);
    const steps = new WeakMap<StepEntry, StepKeys>();
    let observedCount = 0;
    const forecast = (step: StepEntry): RunTimeForecast => {
        const known = steps.get(step);
        if (known?.forecastAfter === observedCount) {
            return known.forecast;
        }
        const keys = known?.keys ?? composeKeys(step);
        const result = forecastFrom(findLevel(tables, keys), step.spec.estimatedMs);
        steps.set(step, { keys, forecast: result, forecastAfter: observedCount });
        return result;
    };
    return {
        observe: (step, runMs, now) => {
            if (runMs <= 0) {
                return;
            }
            const { medianMs } = forecast(step);
            const { estimatedMs } = step.spec;
            const logMs = Math.log(runMs);
            const observed = {
                logMs,
                logEstimatedMs: estimatedMs > 0 ? Math.log(estimatedMs) : undefined,
                logForecastMs: medianMs > 0 ? Math.log(medianMs) : logMs,
                // The tasks of one step are alike, so that a wide step says less than as many steps.
                weight: step.spec.gang ? 1 : 1 / Math.sqrt(Math.max(1, step.tasks.length)),
            };
            const { keys } = steps.get(step)!;
            tables.forEach((table, index) => table.observe(keys[index]!, observed, now));
            observedCount += 1;
        },
        forecast,
        exportLevels: () => {
            const [queues, customers, kinds] = tables.map(table => table.list());
            return { queues: queues!, customers: customers!, kinds: kinds! };
        },
        importLevels: (levels, now) => {
            LEVEL_NAMES.forEach((name, index) => {
                levels[name].forEach(([key, level]) => tables[index]!.add(key, level, now));
            });
            observedCount += 1;
        },
    };
}

function composeKeys({ job, spec, tasks }: StepEntry): readonly string[] {
    const { cpuMillis = 0, memoryMb = 0, accelerators = 0 } = spec.request ?? {};
    const kind = [job.queue, spec.image, cpuMillis, memoryMb, accelerators, spec.gang ? tasks.length : 0];
    return [job.queue, [job.queue, job.job.customer].join(SEPARATOR), kind.join(SEPARATOR)];
}

function findLevel(tables: readonly LevelTable[], keys: readonly string[]): RunTimeLevel {
    return tables.reduce(
        (level, table, index) => combineLevels(level, table.get(keys[index]!)),
        ESTIMATE_LEVEL,
    );
}

function forecastFrom({ count, actual, ratio, high }: RunTimeLevel, estimatedMs: number): RunTimeForecast {
    const actualWeight = count > 0 ? 1 / actual.spread ** 2 : 0;
    const ratioWeight = estimatedMs > 0 ? 1 / ratio.spread ** 2 : 0;
    if (actualWeight + ratioWeight === 0) {
        return { medianMs: 0, highMs: 0 };
    }
    const corrected = estimatedMs > 0 ? Math.log(estimatedMs) + ratio.median : 0;
    const median = (actual.median * actualWeight + corrected * ratioWeight) / (actualWeight + ratioWeight);
    return { medianMs: Math.exp(median), highMs: Math.exp(median + high) };
}
