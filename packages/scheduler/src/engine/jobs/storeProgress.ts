import { MAX_TRANSACTION_ENTRIES } from "../../constants.js";
import type { StoreError, StoreItem } from "../../ports/FleetStore.js";
import type { EncodedProgress, EncodeProgressOptions } from "../../state/encodeProgress.js";
import { encodeProgress } from "../../state/encodeProgress.js";
import type { JobEntry } from "../../state/JobEntry.js";
import { storeKeys } from "../../storeKeys.js";
import { resignIfReplaced } from "../resignIfReplaced.js";
import type { Scheduler } from "../Scheduler.js";

/** Maximum number of jobs in a transaction: each needs an expectation and a write, the owner's key an expectation. */
export const JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ENTRIES - 1) / 2);

/** The progress of a job at the time at which it was encoded. */
export type ProgressSnapshot = {
    readonly entry: JobEntry;
    readonly state: JobEntry["state"];
    /** Number of changes that the values contain. */
    readonly changeCount: number;
    readonly encoded: EncodedProgress;
};

/**
 * Result of an attempt to store the progress of jobs; `refused` if the store does not accept a value, and `failed` if
 * some of them may not be stored.
 */
export type StoredProgress = "stored" | "refused" | "failed";

/**
 * Encodes the progress of a job. Changes that are made afterwards mark it as unstored again.
 *
 * @param entry - The job.
 * @param options - Whether checkpoints are left out.
 * @returns The snapshot.
 */
export function takeSnapshot(entry: JobEntry, options: EncodeProgressOptions = {}): ProgressSnapshot {
    entry.hasUnstoredProgress = false;
    const { state, changeCount } = entry;
    return { entry, state, changeCount, encoded: encodeProgress(entry, options) };
}

/**
 * Returns whether a snapshot needs a transaction of its own, since it writes or removes parts.
 *
 * @param snapshot - The snapshot.
 * @returns False if it is one value.
 */
export function hasParts({ entry, encoded }: ProgressSnapshot): boolean {
    return encoded.parts.length > 0 || entry.progressPartCount > 0;
}

/**
 * Stores snapshots in one transaction. The jobs of a transaction without effect are marked as unstored again.
 *
 * @param scheduler - The scheduler.
 * @param snapshots - At most `JOBS_PER_TRANSACTION` snapshots, or a single one if it has parts.
 * @returns Whether they are stored.
 */
export async function storeProgress(
    scheduler: Scheduler,
    snapshots: readonly ProgressSnapshot[],
): Promise<StoredProgress> {
    const { ownership } = scheduler;
    const removals = snapshots.flatMap(listSurplusParts);
    snapshots.forEach(({ entry, encoded }) => {
        entry.progressPartCount = Math.max(entry.progressPartCount, encoded.parts.length);
    });
    const committed = await scheduler.store.commit({
        expect: [
            { key: ownership.key, revision: ownership.revision },
            ...snapshots.map(({ entry }) => ({
                key: storeKeys.progress(entry.id),
                revision: entry.progressRevision,
            })),
        ],
        puts: snapshots.flatMap(({ entry: { id }, encoded: { value, parts } }) => [
            { key: storeKeys.progress(id), value },
            ...parts.map((part, index) => ({ key: storeKeys.progressPart(id, index), value: part })),
        ]),
        removals,
    });
    if (committed.isErr()) {
        return handleCommitError(scheduler, snapshots, committed.error);
    }
    snapshots.forEach(snapshot => markStored(snapshot, committed.value));
    return "stored";
}

/** Lists the keys of parts that may be in the store and that a snapshot does not have. */
function listSurplusParts({ entry, encoded }: ProgressSnapshot): readonly string[] {
    const numbers = Array.from({ length: entry.progressPartCount }, (_, number) => number);
    return numbers.slice(encoded.parts.length).map(number => storeKeys.progressPart(entry.id, number));
}

function markStored({ entry, state, changeCount, encoded }: ProgressSnapshot, revision: number): void {
    entry.storedChangeCount = changeCount;
    entry.progressRevision = revision;
    entry.progressPartCount = encoded.parts.length;
    entry.durableState = state;
}

/** Handles a failed commit. A conflict shows either an earlier write whose answer was lost, or a newer owner. */
function handleCommitError(
    scheduler: Scheduler,
    snapshots: readonly ProgressSnapshot[],
    error: StoreError,
): StoredProgress {
    scheduler.log.warn("Progress is not stored.", {
        reason: error.kind,
        jobs: snapshots.length,
        ...(snapshots.length === 1 ? { job: snapshots[0]!.entry.id } : {}),
    });
    if (error.kind !== "conflict") {
        snapshots.forEach(({ entry }) => {
            entry.hasUnstoredProgress = true;
        });
        return error.kind === "invalid" ? "refused" : "failed";
    }
    const storedItems = new Map(error.items.map(item => [item.key, item]));
    if (resignIfReplaced(scheduler.ownership, error.items)) {
        return "failed";
    }
    const areStored = snapshots.map(snapshot =>
        resolveConflict(snapshot, storedItems.get(storeKeys.progress(snapshot.entry.id)))
    );
    return areStored.every(Boolean) ? "stored" : "failed";
}

function resolveConflict(snapshot: ProgressSnapshot, item: StoreItem | undefined): boolean {
    const { entry, encoded } = snapshot;
    entry.progressRevision = item?.revision ?? 0;
    // The parts may differ although the value is the same.
    if (!hasParts(snapshot) && item !== undefined && Buffer.compare(item.value, encoded.value) === 0) {
        markStored(snapshot, item.revision);
        return true;
    }
    entry.hasUnstoredProgress = true;
    return false;
}
