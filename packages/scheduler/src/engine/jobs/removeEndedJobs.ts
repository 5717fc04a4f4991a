import { MAX_TRANSACTION_ENTRIES } from "../../constants.js";
import { isFinalState } from "../../state/isFinalState.js";
import type { JobEntry } from "../../state/JobEntry.js";
import { storeKeys } from "../../storeKeys.js";
import { resignIfReplaced } from "../resignIfReplaced.js";
import type { Scheduler } from "../Scheduler.js";

/** Interval at which jobs whose retention time has passed are looked for, in milliseconds. */
const REMOVAL_INTERVAL_MS = 10_000;

/** Maximum number of transactions in one interval, so that they leave the store's rate to other writes. */
const MAX_TRANSACTIONS_PER_INTERVAL = 20;

/** Number of entries that a job has in a transaction: its key is expected, and removed with two others. */
const ENTRIES_PER_JOB = 4;

/** Maximum number of jobs in a transaction, which also expects the owner's key. */
const JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ENTRIES - 1) / ENTRIES_PER_JOB);

/**
 * Removes ended jobs from the store during a term. A job is kept for twice the retention time that callers are
 * promised, and for that time itself even if a wall clock has jumped.
 *
 * @param scheduler - The scheduler.
 */
export async function removeEndedJobs(scheduler: Scheduler): Promise<void> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted) {
        await scheduler.pause(REMOVAL_INTERVAL_MS, signal);
        const expired = [...scheduler.jobs.values()].filter(entry =>
            isFinalState(entry.durableState) && !entry.hasUnstoredProgress && isExpired(scheduler, entry)
        );
        await removeInTransactions(
            scheduler,
            expired.slice(0, MAX_TRANSACTIONS_PER_INTERVAL * JOBS_PER_TRANSACTION),
        );
    }
}

/** A wall clock may jump; the promised retention time must have passed by the owner's monotonic clock as well. */
function isExpired(
    { wallClock, clock, bounds: { stateRetentionMs } }: Scheduler,
    { endedAtMs, endKnownAt }: JobEntry,
): boolean {
    return wallClock() - endedAtMs > 2 * stateRetentionMs && clock() - endKnownAt > stateRetentionMs;
}

async function removeInTransactions(scheduler: Scheduler, entries: readonly JobEntry[]): Promise<void> {
    for (let start = 0; start < entries.length; start += JOBS_PER_TRANSACTION) {
        const removed = await removeJobs(scheduler, entries.slice(start, start + JOBS_PER_TRANSACTION));
        if (!removed || scheduler.ownership.signal.aborted) {
            return;
        }
    }
}

/**
 * Removes jobs in one transaction, which expects their records as the owner knows them: a removal that is carried out
 * late must not remove a job that has been submitted under the same id since.
 */
async function removeJobs(scheduler: Scheduler, entries: readonly JobEntry[]): Promise<boolean> {
    const { ownership } = scheduler;
    const committed = await scheduler.store.commit({
        expect: [
            { key: ownership.key, revision: ownership.revision },
            ...entries.map(({ id, revision }) => ({ key: storeKeys.job(id), revision })),
        ],
        puts: [],
        removals: entries.flatMap((
            { id },
        ) => [storeKeys.job(id), storeKeys.cancellation(id), storeKeys.progress(id)]),
    });
    if (committed.isOk()) {
        entries.forEach(entry => forgetJob(scheduler, entry));
        scheduler.log.info("Ended jobs are removed from the store.", { jobs: entries.length });
        return true;
    }
    scheduler.log.warn("Ended jobs cannot be removed from the store.", { reason: committed.error.kind });
    if (committed.error.kind === "conflict" && !resignIfReplaced(ownership, committed.error.items)) {
        const stored = new Map(committed.error.items.map(({ key, revision }) => [key, revision]));
        entries.filter(({ id, revision }) => stored.get(storeKeys.job(id)) !== revision)
            .forEach(entry => forgetJob(scheduler, entry));
    }
    return false;
}

/** Forgets a job whose record is removed, unless another job has its id now. */
function forgetJob(scheduler: Scheduler, entry: JobEntry): void {
    if (scheduler.jobs.get(entry.id) === entry) {
        scheduler.jobs.delete(entry.id);
    }
}
