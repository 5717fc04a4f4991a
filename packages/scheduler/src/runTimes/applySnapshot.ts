import type {
    LogStatistics,
    RunTimeLevel as LevelRecord,
    RunTimesRecord,
} from "@balsamward/schema/scheduling";
import type { LearnedRunTimes } from "./composeSnapshot.js";
import type { LogStatistics as Statistics, RunTimeLevel } from "./RunTimeLevel.js";

/** Largest logarithm of a relative run time that is plausible; machines differ by less than the factor 20. */
const MAX_EFFECT = 3;

/** Largest logarithm of a run time in milliseconds that is plausible; about 30 years. */
const MAX_LOG_MS = 30;

/**
 * Returns whether the values of a snapshot can be used.
 *
 * @param record - The snapshot.
 * @returns Whether all values are plausible; others would mislead placement until new evidence corrects them.
 */
export function isSoundSnapshot(record: RunTimesRecord): boolean {
    return Number.isFinite(record.writtenAtMs)
        && record.machines.every(({ effect, weight }) => Math.abs(effect) <= MAX_EFFECT && isPositive(weight))
        && [record.queues, record.customers, record.kinds].flat().every(isSoundLevel);
}

/**
 * Adopts what an earlier owner learned about run times.
 *
 * @param learned - The learned run times of this owner.
 * @param record - A sound snapshot.
 * @param times - The wall time in milliseconds since 1970, and the monotonic time in milliseconds.
 */
export function applySnapshot(
    { runTimePredictor, relativeRunTimes }: LearnedRunTimes,
    record: RunTimesRecord,
    { wallMs, now }: { readonly wallMs: number; readonly now: number },
): void {
    relativeRunTimes.importMachines(record.machines, wallMs - record.writtenAtMs, now);
    const { queues, customers, kinds } = record;
    runTimePredictor.importLevels({
        queues: queues.map(fromLevel),
        customers: customers.map(fromLevel),
        kinds: kinds.map(fromLevel),
    }, now);
}

function isPositive(value: number): boolean {
    return value > 0 && Number.isFinite(value);
}

function isSoundLevel({ count, actual, ratio, high }: LevelRecord): boolean {
    return isPositive(count) && isPositive(high) && high <= MAX_LOG_MS && isSoundStatistics(actual)
        && isSoundStatistics(ratio);
}

function isSoundStatistics(statistics: LogStatistics | undefined): boolean {
    return statistics !== undefined && Math.abs(statistics.median) <= MAX_LOG_MS
        && isPositive(statistics.spread) && statistics.spread <= MAX_LOG_MS
        && Math.abs(statistics.balance) <= 1;
}

function fromLevel({ key, count, actual, ratio, high }: LevelRecord): readonly [string, RunTimeLevel] {
    return [key, { count, actual: fromStatistics(actual), ratio: fromStatistics(ratio), high }];
}

function fromStatistics(statistics: LogStatistics | undefined): Statistics {
    return { median: 0, spread: 1, balance: 0, ...statistics };
}
