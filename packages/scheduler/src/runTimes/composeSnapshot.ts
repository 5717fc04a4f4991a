import type { RunTimesRecord } from "@balsamward/schema/scheduling";
import { RunTimesRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import type { RelativeRunTimes } from "./createRelativeRunTimes.js";
import type { RunTimeLevel } from "./RunTimeLevel.js";
import type { RunTimePredictor } from "./RunTimePredictor.js";

/** Format of the snapshots that are written, and the highest that is read. */
export const SNAPSHOT_FORMAT = 1;

/** Maximum size of a snapshot in bytes. */
const MAX_SNAPSHOT_BYTES = 65_536;

/** A snapshot with its encoding. */
export type RunTimesSnapshot = { readonly record: RunTimesRecord; readonly value: Uint8Array };

/** What is learned about run times. */
export type LearnedRunTimes = {
    readonly runTimePredictor: RunTimePredictor;
    readonly relativeRunTimes: RelativeRunTimes;
};

/**
 * Composes a snapshot of what is learned about run times.
 *
 * @param learned - The learned run times.
 * @param wallMs - Wall time in milliseconds since 1970.
 * @returns The snapshot. If it would be too large, levels and machines with little evidence are left out.
 */
export function composeSnapshot(
    { runTimePredictor, relativeRunTimes }: LearnedRunTimes,
    wallMs: number,
): RunTimesSnapshot {
    const { queues, customers, kinds } = runTimePredictor.exportLevels();
    let record = create(RunTimesRecordSchema, {
        format: SNAPSHOT_FORMAT,
        writtenAtMs: wallMs,
        machines: [...relativeRunTimes.exportMachines()],
        queues: queues.map(toLevel),
        customers: customers.map(toLevel),
        kinds: kinds.map(toLevel),
    });
    let value = toBinary(RunTimesRecordSchema, record);
    while (value.length > MAX_SNAPSHOT_BYTES) {
        record = create(RunTimesRecordSchema, {
            ...record,
            machines: keepHalf(record.machines, ({ weight }) => weight),
            queues: keepHalf(record.queues, ({ count }) => count),
            customers: keepHalf(record.customers, ({ count }) => count),
            kinds: keepHalf(record.kinds, ({ count }) => count),
        });
        value = toBinary(RunTimesRecordSchema, record);
    }
    return { record, value };
}

function toLevel([key, level]: readonly [key: string, level: RunTimeLevel]) {
    return { key, ...level };
}

function keepHalf<Item>(items: readonly Item[], getRank: (item: Item) => number): Item[] {
    return [...items].sort((left, right) => getRank(right) - getRank(left)).slice(0, items.length >> 1);
}
