import type { ObservedRunTime, RunTimeLevel } from "./RunTimeLevel.js";
import { ESTIMATE_LEVEL, updateLevel } from "./RunTimeLevel.js";

/** Levels of one generality, by the key of the group of runs that each describes. */
export type LevelTable = {
    readonly get: (key: string) => RunTimeLevel | undefined;
    readonly observe: (key: string, observed: ObservedRunTime, now: number) => void;
    /** Adds a level unless there is one with its key. */
    readonly add: (key: string, level: RunTimeLevel, now: number) => void;
    readonly list: () => readonly (readonly [key: string, level: RunTimeLevel])[];
};

type TableEntry = { level: RunTimeLevel; observedAt: number };

/** Time in which a level without runs loses half of its rank when the rarest level is dropped, in milliseconds. */
const RANK_HALF_LIFE_MS = 300_000;

/**
 * Creates a table without levels.
 *
 * @param maxSize - Maximum number of levels. Beyond it, the rarest is dropped: its runs remain in the more general
 * levels.
 * @returns The table.
 */
export function createLevelTable(maxSize: number): LevelTable {
    const entries = new Map<string, TableEntry>();
    const set = (key: string, level: RunTimeLevel, now: number): void => {
        if (!entries.has(key) && entries.size >= maxSize) {
            entries.delete(findRarest(entries, now));
        }
        entries.set(key, { level, observedAt: now });
    };
    return {
        get: key => entries.get(key)?.level,
        observe: (key, observed, now) =>
            set(key, updateLevel(entries.get(key)?.level ?? ESTIMATE_LEVEL, observed), now),
        add: (key, level, now) => {
            if (!entries.has(key)) {
                set(key, level, now);
            }
        },
        list: () => [...entries].map(([key, { level }]) => [key, level] as const),
    };
}

function findRarest(entries: ReadonlyMap<string, TableEntry>, now: number): string {
    let rarest = "";
    let lowestRank = Number.POSITIVE_INFINITY;
    for (const [key, { level, observedAt }] of entries) {
        const rank = level.count * 0.5 ** ((now - observedAt) / RANK_HALF_LIFE_MS);
        if (rank < lowestRank) {
            rarest = key;
            lowestRank = rank;
        }
    }
    return rarest;
}
