import { MAX_WATCH_WAIT_MS, STORE_RETRY_MS } from "../../constants.js";
import { storeKeys } from "../../storeKeys.js";
import type { Scheduler } from "../Scheduler.js";
import { decodeJobRecord, parseCancellationKey } from "../takeover/restoreJob.js";
import { cancelJob, registerJob } from "./registerJob.js";

type StoredItem = { readonly key: string; readonly revision: number; readonly value: Uint8Array };

/**
 * Watches the store for jobs and cancellations that daemons add during a term.
 *
 * @param scheduler - The scheduler.
 * @param startRevision - Store revision up to which the jobs are already loaded.
 */
export async function watchJobs(scheduler: Scheduler, startRevision: number): Promise<void> {
    const { signal } = scheduler.ownership;
    let revision = startRevision;
    while (!signal.aborted) {
        const sentAt = scheduler.clock();
        const changes = await scheduler.store.watch(storeKeys.jobPrefix, revision, MAX_WATCH_WAIT_MS, signal);
        if (signal.aborted) {
            return;
        }
        if (changes.isOk()) {
            changes.value.events.forEach(({ key, revision: at, value }) => {
                if (value !== undefined) {
                    applyItem(scheduler, { key, revision: at, value });
                }
            });
            revision = changes.value.revision;
            // A response that is read later than the watch waits has been delayed, and jobs may have been stored since.
            scheduler.jobsReadAt = Math.min(scheduler.clock(), sentAt + MAX_WATCH_WAIT_MS);
            continue;
        }
        scheduler.log.warn("The watch of jobs is interrupted.", { reason: changes.error.kind, revision });
        if (changes.error.kind !== "compacted") {
            await scheduler.pause(STORE_RETRY_MS, signal);
        }
        if (changes.error.kind === "compacted" || changes.error.kind === "invalid") {
            // The revision may be one from which the store answers no watch.
            revision = await relistJobs(scheduler) ?? revision;
        }
    }
}

async function relistJobs(scheduler: Scheduler): Promise<number | undefined> {
    const sentAt = scheduler.clock();
    const listed = await scheduler.store.list(storeKeys.jobPrefix);
    if (listed.isErr()) {
        await scheduler.pause(STORE_RETRY_MS, scheduler.ownership.signal);
        return undefined;
    }
    listed.value.items.forEach(item => applyItem(scheduler, item));
    scheduler.jobsReadAt = sentAt;
    return listed.value.revision;
}

function applyItem(scheduler: Scheduler, item: StoredItem): void {
    const cancelledId = parseCancellationKey(item.key);
    if (cancelledId !== undefined) {
        cancelJob(scheduler, cancelledId);
        return;
    }
    const job = decodeJobRecord(scheduler, item);
    if (job !== undefined) {
        registerJob(scheduler, job, item.revision);
    }
}
