import { ProgressSchema } from "@balsamward/schema/scheduling";
import { toBinary } from "@bufbuild/protobuf";
import type { ComposeProgressOptions } from "./composeProgress.js";
import { composeProgress, hasProgress } from "./composeProgress.js";
import { encodeCheckpointParts } from "./encodeCheckpointParts.js";
import { isFinalState } from "./isFinalState.js";
import type { JobEntry } from "./JobEntry.js";
import { listSteps } from "./listSteps.js";

/** Largest value that is written to the store, in bytes; a little less than a store accepts, which is 1 MiB. */
export const MAX_PROGRESS_BYTES = 1_000_000;

/** Fewest bytes of a field of a record: its tag, and one of the value or of its length. */
const MIN_FIELD_BYTES = 2;

/** The progress of a job as it is stored. */
export type EncodedProgress = {
    readonly value: Uint8Array;
    /** Further values with the checkpoints; none if they are part of `value`. */
    readonly parts: readonly Uint8Array[];
    /** Number of tasks whose checkpoints have no room. */
    readonly omittedCheckpoints: number;
};

/** Options of `encodeProgress`. */
export type EncodeProgressOptions = {
    /** Maximum size of a value, in bytes; by default, that of the store. */
    readonly maxBytes?: number;
    /** Whether no checkpoint is stored. */
    readonly withoutCheckpoints?: boolean;
};

/**
 * Encodes the progress of a job. A record within the size of a value is one that earlier builds read whole. From a
 * larger one, the checkpoints are taken out, and if need be, done tasks are encoded as bits.
 *
 * @param entry - The job.
 * @param options - The size of a value, and whether checkpoints are left out.
 * @returns The values to store. The first exceeds its size only if too many tasks have run without being done.
 */
export function encodeProgress(
    entry: JobEntry,
    { maxBytes = MAX_PROGRESS_BYTES, withoutCheckpoints = false }: EncodeProgressOptions = {},
): EncodedProgress {
    const whole = encodeWithin(entry, maxBytes, { withoutCheckpoints });
    if (whole !== undefined) {
        return { value: whole, parts: [], omittedCheckpoints: 0 };
    }
    const value = encodeWithin(entry, maxBytes, { withoutCheckpoints: true })
        ?? toBinary(
            ProgressSchema,
            composeProgress(entry, { withoutCheckpoints: true, doneTasksAsBits: true }),
        );
    return {
        value,
        ...(withoutCheckpoints
            ? { parts: [], omittedCheckpoints: 0 }
            : encodeCheckpointParts(entry, maxBytes)),
    };
}

/** Encodes the progress, or returns `undefined` if it is too large. */
function encodeWithin(
    entry: JobEntry,
    maxBytes: number,
    options: ComposeProgressOptions,
): Uint8Array | undefined {
    if (getLeastBytes(entry, options) > maxBytes) {
        return undefined;
    }
    const value = toBinary(ProgressSchema, composeProgress(entry, options));
    return value.length <= maxBytes ? value : undefined;
}

/** Returns a lower bound of the size, which takes far less time than composing the record of a large job. */
function getLeastBytes(entry: JobEntry, { withoutCheckpoints = false }: ComposeProgressOptions): number {
    if (isFinalState(entry.state)) {
        return 0;
    }
    let bytes = 0;
    for (const { tasks, occurrence } of listSteps(entry)) {
        const tasksWithProgress = tasks.filter(hasProgress);
        if (tasksWithProgress.length > 0) {
            bytes += getFieldBytes(true, occurrence > 0);
        }
        for (const { name, done, lastRun, checkpoint } of tasksWithProgress) {
            bytes += getFieldBytes(true, name.index > 0, done, lastRun > 0)
                + (done || withoutCheckpoints ? 0 : checkpoint.length);
        }
    }
    return bytes;
}

function getFieldBytes(...presentFields: readonly boolean[]): number {
    return MIN_FIELD_BYTES * presentFields.filter(Boolean).length;
}
