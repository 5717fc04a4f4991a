import { ProgressSchema } from "@balsamward/schema/scheduling";
import { toBinary } from "@bufbuild/protobuf";
import type { WakeSignal } from "../../_lib/createWakeSignal.js";
import { MAX_PASS_INTERVAL_MS, MAX_TRANSACTION_ENTRIES, STORE_RETRY_MS } from "../../constants.js";
import type { StoreError, StoreItem } from "../../ports/FleetStore.js";
import { composeProgress } from "../../state/composeProgress.js";
import type { JobEntry } from "../../state/JobEntry.js";
import type { EndNumbers } from "../../state/WorkerEntry.js";
import { storeKeys } from "../../storeKeys.js";
import type { Scheduler } from "../Scheduler.js";

/** Maximum number of jobs in a transaction: each needs an expectation and a write, the owner's key an expectation. */
const JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ENTRIES - 1) / 2);

/** Ends of a worker whose effects are about to be stored. */
type AppliedEnds = {
    readonly ends: EndNumbers;
    readonly wakeSignal: WakeSignal;
    /** Number of the last end that was applied before the write. */
    readonly lastApplied: number;
};

type Snapshot = {
    readonly entry: JobEntry;
    readonly state: JobEntry["state"];
    /** Number of changes that the value contains. */
    readonly changeCount: number;
    readonly value: Uint8Array;
};

/**
 * Stores changed progress during a term. Run ends are acknowledged to their workers, which then discard them,
 * only after every job that they changed is stored.
 *
 * @param scheduler - The scheduler.
 * @param trigger - Wakes the loop when the progress of a job has changed.
 */
export async function flushProgress(scheduler: Scheduler, trigger: WakeSignal): Promise<void> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted) {
        const appliedEnds = [...scheduler.fleet.values()]
            .filter(({ ends }) => ends.lastApplied > ends.lastDurable)
            .map(({ ends, wakeSignal }): AppliedEnds => ({
                ends,
                wakeSignal,
                lastApplied: ends.lastApplied,
            }));
        const jobsToStore = [...scheduler.jobs.values()].filter(entry => entry.hasUnstoredProgress);
        if (await storeAll(scheduler, jobsToStore)) {
            appliedEnds.forEach(markEndsStored);
            await trigger.wait(MAX_PASS_INTERVAL_MS, signal);
        }
        else {
            await scheduler.pause(STORE_RETRY_MS, signal);
        }
    }
}

function markEndsStored({ ends, wakeSignal, lastApplied }: AppliedEnds): void {
    ends.lastDurable = Math.max(ends.lastDurable, lastApplied);
    wakeSignal.notify();
}

async function storeAll(scheduler: Scheduler, entries: readonly JobEntry[]): Promise<boolean> {
    for (let start = 0; start < entries.length; start += JOBS_PER_TRANSACTION) {
        const stored = await storeBatch(scheduler, entries.slice(start, start + JOBS_PER_TRANSACTION));
        if (!stored) {
            return false;
        }
    }
    return true;
}

async function storeBatch(scheduler: Scheduler, entries: readonly JobEntry[]): Promise<boolean> {
    const { ownership } = scheduler;
    const snapshots = entries.map((entry): Snapshot => {
        entry.hasUnstoredProgress = false;
        const { state, changeCount } = entry;
        return { entry, state, changeCount, value: toBinary(ProgressSchema, composeProgress(entry)) };
    });
    const committed = await scheduler.store.commit({
        expect: [
            { key: ownership.key, revision: ownership.revision },
            ...entries.map(entry => ({
                key: storeKeys.progress(entry.id),
                revision: entry.progressRevision,
            })),
        ],
        puts: snapshots.map(({ entry, value }) => ({ key: storeKeys.progress(entry.id), value })),
        removals: [],
    });
    if (committed.isOk()) {
        snapshots.forEach(snapshot => markStored(snapshot, committed.value));
        return true;
    }
    return handleCommitError(scheduler, snapshots, committed.error);
}

function markStored({ entry, state, changeCount }: Snapshot, revision: number): void {
    entry.storedChangeCount = changeCount;
    entry.progressRevision = revision;
    entry.durableState = state;
}

/**
 * Handles a failed commit and returns whether all snapshots are stored nevertheless. A conflict shows either an
 * earlier write of this owner whose answer was lost, or a newer owner.
 */
function handleCommitError(
    scheduler: Scheduler,
    snapshots: readonly Snapshot[],
    error: StoreError,
): boolean {
    scheduler.log.warn("Progress is not stored.", { reason: error.kind, jobs: snapshots.length });
    if (error.kind !== "conflict") {
        snapshots.forEach(({ entry }) => {
            entry.hasUnstoredProgress = true;
        });
        return false;
    }
    const storedItems = new Map(error.items.map(item => [item.key, item]));
    if (storedItems.get(scheduler.ownership.key)?.revision !== scheduler.ownership.revision) {
        scheduler.ownership.resign("The store shows another owner.");
        return false;
    }
    return snapshots
        .map(snapshot => resolveConflict(snapshot, storedItems.get(storeKeys.progress(snapshot.entry.id))))
        .every(Boolean);
}

function resolveConflict(snapshot: Snapshot, item: StoreItem | undefined): boolean {
    const { entry } = snapshot;
    entry.progressRevision = item?.revision ?? 0;
    if (item !== undefined && Buffer.compare(item.value, snapshot.value) === 0) {
        markStored(snapshot, item.revision);
        return true;
    }
    entry.hasUnstoredProgress = true;
    return false;
}
