import type { WakeSignal } from "../../_lib/createWakeSignal.js";
import { MAX_PASS_INTERVAL_MS, STORE_RETRY_MS } from "../../constants.js";
import type { JobEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import type { ProgressSnapshot, StoredProgress } from "./storeProgress.js";
import { hasParts, JOBS_PER_TRANSACTION, storeProgress, takeSnapshot } from "./storeProgress.js";

/** Interval at which progress that the store refuses is written again, in milliseconds. */
const REFUSED_PROGRESS_RETRY_MS = 1_000;

/** Size from which progress is stored in a transaction of its own, so that others do not wait for it, in bytes. */
const LARGE_PROGRESS_BYTES = 100_000;

/** Jobs whose progress is stored in transactions of their own. */
type SeparateJobs = {
    /** Jobs that are being stored. */
    readonly pending: Set<JobEntry>;
    /** Jobs that were part of a refused transaction and have not been stored since. */
    readonly suspected: Set<JobEntry>;
};

/**
 * Stores changed progress during a term. Run ends are acknowledged to their workers, which then discard them, only
 * after every job that they changed is stored. A job whose progress cannot be stored holds back its own ends, and the
 * later ones of the same workers, but no progress of other jobs.
 *
 * @param scheduler - The scheduler.
 * @param trigger - Wakes the loop when the progress of a job has changed.
 */
export async function flushProgress(scheduler: Scheduler, trigger: WakeSignal): Promise<void> {
    const { signal } = scheduler.ownership;
    const separate: SeparateJobs = { pending: new Set(), suspected: new Set() };
    while (!signal.aborted) {
        const entries = [...scheduler.jobs.values()].filter(entry =>
            entry.hasUnstoredProgress && !separate.pending.has(entry)
        );
        const stored = await storeAll(scheduler, entries, separate);
        scheduler.fleet.forEach(markStoredEnds);
        if (stored === "failed") {
            await scheduler.pause(STORE_RETRY_MS, signal);
        }
        else {
            await trigger.wait(MAX_PASS_INTERVAL_MS, signal);
        }
    }
}

/** Counts as durable all ends of a worker before the first one whose job is not stored. */
function markStoredEnds({ ends, wakeSignal }: WorkerEntry): void {
    const firstUnstored = ends.unstored.findIndex(({ job, changeCount }) =>
        job.storedChangeCount < changeCount
    );
    ends.unstored = firstUnstored === -1 ? [] : ends.unstored.slice(firstUnstored);
    const lastDurable = firstUnstored === -1 ? ends.lastApplied : ends.unstored[0]!.number - 1;
    if (lastDurable > ends.lastDurable) {
        ends.lastDurable = lastDurable;
        wakeSignal.notify();
    }
}

async function storeAll(
    scheduler: Scheduler,
    entries: readonly JobEntry[],
    separate: SeparateJobs,
): Promise<StoredProgress> {
    for (let start = 0; start < entries.length; start += JOBS_PER_TRANSACTION) {
        const snapshots = entries.slice(start, start + JOBS_PER_TRANSACTION).map(entry =>
            takeSnapshot(entry)
        );
        const isSeparate = (snapshot: ProgressSnapshot): boolean =>
            hasParts(snapshot) || snapshot.encoded.value.length > LARGE_PROGRESS_BYTES
            || separate.suspected.has(snapshot.entry);
        snapshots.filter(isSeparate).forEach(snapshot => startSeparately(scheduler, snapshot, separate));
        const stored = await storeTogether(
            scheduler,
            snapshots.filter(snapshot => !isSeparate(snapshot)),
            separate,
        );
        if (stored === "failed") {
            return stored;
        }
    }
    return "stored";
}

async function storeTogether(
    scheduler: Scheduler,
    snapshots: readonly ProgressSnapshot[],
    separate: SeparateJobs,
): Promise<StoredProgress> {
    if (snapshots.length === 0) {
        return "stored";
    }
    const stored = await storeProgress(scheduler, snapshots);
    if (stored === "refused") {
        for (const { entry } of snapshots) {
            separate.suspected.add(entry);
            startSeparately(scheduler, takeSnapshot(entry), separate);
        }
    }
    return stored;
}

/** Starts to store the progress of one job beside the others. Refused progress is stored without its checkpoints. */
function startSeparately(scheduler: Scheduler, snapshot: ProgressSnapshot, separate: SeparateJobs): void {
    const { entry } = snapshot;
    separate.pending.add(entry);
    scheduler.spawn(async () => {
        try {
            await storeSeparately(scheduler, snapshot, separate);
        }
        finally {
            separate.pending.delete(entry);
            scheduler.requestFlush();
        }
    });
}

async function storeSeparately(
    scheduler: Scheduler,
    snapshot: ProgressSnapshot,
    { suspected }: SeparateJobs,
): Promise<void> {
    const { entry, encoded } = snapshot;
    const { signal } = scheduler.ownership;
    const first = await storeProgress(scheduler, [snapshot]);
    const stored = first === "refused" && !signal.aborted
        ? await storeProgress(scheduler, [takeSnapshot(entry, { withoutCheckpoints: true })])
        : first;
    switch (stored) {
        case "stored":
            suspected.delete(entry);
            if (first === "refused" || encoded.omittedCheckpoints > 0) {
                scheduler.log.warn("Progress is stored without some of its checkpoints.", {
                    job: entry.id,
                    tasks: first === "refused" ? "all" : encoded.omittedCheckpoints,
                });
            }
            return;
        case "refused":
            suspected.add(entry);
            await scheduler.pause(REFUSED_PROGRESS_RETRY_MS, signal);
            return;
        case "failed":
            await scheduler.pause(STORE_RETRY_MS, signal);
            return;
    }
}
