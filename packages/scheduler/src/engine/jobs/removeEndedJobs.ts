import { MAX_TRANSACTION_ENTRIES } from "../../constants.js";
import { isFinalState } from "../../state/isFinalState.js";
import type { JobEntry } from "../../state/JobEntry.js";
import { storeKeys } from "../../storeKeys.js";
import type { Scheduler } from "../Scheduler.js";

/** Interval at which jobs whose retention time has passed are looked for, in milliseconds. */
const REMOVAL_INTERVAL_MS = 10_000;

/** Number of keys that a job has in the store. */
const KEYS_PER_JOB = 3;

/**
 * Removes ended jobs from the store during a term. A job is kept for twice the retention time that callers are
 * promised.
 *
 * @param scheduler - The scheduler.
 */
export async function removeEndedJobs(scheduler: Scheduler): Promise<void> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted) {
        await scheduler.pause(REMOVAL_INTERVAL_MS, signal);
        const endedBefore = scheduler.wallClock() - 2 * scheduler.bounds.stateRetentionMs;
        const expired = [...scheduler.jobs.values()].filter(entry =>
            isFinalState(entry.durableState) && !entry.hasUnstoredProgress && entry.endedAtMs < endedBefore
        );
        await removeJobs(
            scheduler,
            expired.slice(0, Math.floor((MAX_TRANSACTION_ENTRIES - 1) / KEYS_PER_JOB)),
        );
    }
}

async function removeJobs(scheduler: Scheduler, entries: readonly JobEntry[]): Promise<void> {
    if (entries.length === 0) {
        return;
    }
    const removed = await scheduler.store.commit({
        expect: [{ key: scheduler.ownership.key, revision: scheduler.ownership.revision }],
        puts: [],
        removals: entries.flatMap((
            { id },
        ) => [storeKeys.job(id), storeKeys.cancellation(id), storeKeys.progress(id)]),
    });
    if (removed.isErr()) {
        scheduler.log.warn("Ended jobs cannot be removed from the store.", { reason: removed.error.kind });
        return;
    }
    entries.forEach(({ id }) => scheduler.jobs.delete(id));
    scheduler.log.info("Ended jobs are removed from the store.", { jobs: entries.length });
}
