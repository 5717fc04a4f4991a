import type { RunTimeLevel, RunTimesRecord } from "@balsamward/schema/scheduling";

/** Change of a logarithm of a run time that is worth a write; about 10 %. */
const MIN_CHANGE = 0.1;

/** Age of the stored snapshot from which it is written again, in milliseconds. A new owner trusts an old one less. */
const MAX_SNAPSHOT_AGE_MS = 30_000;

/** Number of runs of a new level that are worth a write. */
const MIN_NEW_RUNS = 5;

/**
 * Returns whether a snapshot differs enough from the stored one to be stored.
 *
 * @param stored - The stored snapshot; `undefined` if none is known.
 * @param current - The current snapshot.
 * @returns Whether the relative run time of a machine or the median of a level has changed by 10 %, or the stored
 * snapshot has machines and is old.
 */
export function hasMoved(stored: RunTimesRecord | undefined, current: RunTimesRecord): boolean {
    const storedEffects = new Map(stored?.machines.map(({ machine, effect }) => [machine, effect]));
    const isOld = stored !== undefined && current.machines.length > 0
        && current.writtenAtMs - stored.writtenAtMs >= MAX_SNAPSHOT_AGE_MS;
    return isOld
        || current.machines.some(({ machine, effect }) =>
            Math.abs(effect - (storedEffects.get(machine) ?? 0)) >= MIN_CHANGE
        )
        || haveLevelsMoved(stored?.queues, current.queues)
        || haveLevelsMoved(stored?.customers, current.customers)
        || haveLevelsMoved(stored?.kinds, current.kinds);
}

function haveLevelsMoved(stored: readonly RunTimeLevel[] = [], current: readonly RunTimeLevel[]): boolean {
    const storedLevels = new Map(stored.map(level => [level.key, level]));
    return current.some(level => {
        const known = storedLevels.get(level.key);
        return known === undefined
            ? level.count >= MIN_NEW_RUNS
            : Math.abs(getMedian(level) - getMedian(known)) >= MIN_CHANGE;
    });
}

function getMedian({ actual }: RunTimeLevel): number {
    return actual?.median ?? 0;
}
