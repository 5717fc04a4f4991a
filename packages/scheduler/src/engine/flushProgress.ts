import { ProgressSchema } from "@balsamward/schema/scheduling";
import { toBinary } from "@bufbuild/protobuf";
import type { WakeSignal } from "../_lib/createWakeSignal.js";
import { MAX_PASS_INTERVAL_MS, MAX_TRANSACTION_ENTRIES, STORE_RETRY_MS } from "../constants.js";
import type { StoreError, StoreItem } from "../ports/FleetStore.js";
import { composeProgress } from "../state/composeProgress.js";
import type { JobEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { storeKeys } from "../storeKeys.js";
import type { Scheduler } from "./Scheduler.js";

/** Each job takes an expectation and a write; the owner's key takes one more expectation. */
const JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ENTRIES - 1) / 2);

type Snapshot = { readonly entry: JobEntry; readonly state: JobEntry["state"]; readonly value: Uint8Array };

/**
 * Stores changed progress during a term. Ends that a worker listed are only forgotten there after
 * every job that they changed is stored.
 *
 * @param scheduler - The scheduler.
 * @param bell - Rung when a job's progress has changed.
 */
export async function flushProgress(scheduler: Scheduler, bell: WakeSignal): Promise<void> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted) {
        const ends = [...scheduler.fleet.values()]
            .filter(worker => worker.lastAppliedEnd > worker.lastDurableEnd)
            .map(worker => ({ worker, number: worker.lastAppliedEnd }));
        const dirty = [...scheduler.jobs.values()].filter(entry => entry.hasUnstoredProgress);
        if (await storeAll(scheduler, dirty)) {
            ends.forEach(({ worker, number }) => keepEnds(worker, number));
            await bell.wait(MAX_PASS_INTERVAL_MS, signal);
        }
        else {
            await scheduler.pause(STORE_RETRY_MS, signal);
        }
    }
}

function keepEnds(worker: WorkerEntry, number: number): void {
    worker.lastDurableEnd = Math.max(worker.lastDurableEnd, number);
    worker.wakeSignal.notify();
}

async function storeAll(scheduler: Scheduler, dirty: readonly JobEntry[]): Promise<boolean> {
    for (let begin = 0; begin < dirty.length; begin += JOBS_PER_TRANSACTION) {
        const stored = await storeGroup(scheduler, dirty.slice(begin, begin + JOBS_PER_TRANSACTION));
        if (!stored) {
            return false;
        }
    }
    return true;
}

async function storeGroup(scheduler: Scheduler, entries: readonly JobEntry[]): Promise<boolean> {
    const { ownership } = scheduler;
    const snapshots = entries.map((entry): Snapshot => {
        entry.hasUnstoredProgress = false;
        return { entry, state: entry.state, value: toBinary(ProgressSchema, composeProgress(entry)) };
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
        snapshots.forEach(snapshot => noteStored(snapshot, committed.value));
        return true;
    }
    return resolveFailure(scheduler, snapshots, committed.error);
}

function noteStored({ entry, state }: Snapshot, revision: number): void {
    entry.progressRevision = revision;
    entry.durableState = state;
}

/**
 * An earlier write whose answer was lost may have taken effect. What the conflict shows is either
 * that write, or a newer owner.
 */
function resolveFailure(scheduler: Scheduler, snapshots: readonly Snapshot[], error: StoreError): boolean {
    scheduler.log.warn("Progress is not stored.", { reason: error.kind, jobs: snapshots.length });
    if (error.kind !== "conflict") {
        snapshots.forEach(({ entry }) => {
            entry.hasUnstoredProgress = true;
        });
        return false;
    }
    const present = new Map(error.items.map(item => [item.key, item]));
    if (present.get(scheduler.ownership.key)?.revision !== scheduler.ownership.revision) {
        scheduler.ownership.resign("The store shows another owner.");
        return false;
    }
    return snapshots.map(snapshot => adopt(snapshot, present.get(storeKeys.progress(snapshot.entry.id))))
        .every(
            Boolean,
        );
}

function adopt(snapshot: Snapshot, item: StoreItem | undefined): boolean {
    const { entry } = snapshot;
    entry.progressRevision = item?.revision ?? 0;
    if (item !== undefined && Buffer.compare(item.value, snapshot.value) === 0) {
        noteStored(snapshot, item.revision);
        return true;
    }
    entry.hasUnstoredProgress = true;
    return false;
}
