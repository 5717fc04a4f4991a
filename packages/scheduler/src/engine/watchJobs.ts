import { JobSchema } from "@balsamward/schema/scheduling";
import { MAX_WATCH_WAIT_MS, STORE_RETRY_MS } from "../constants.js";
import { storeKeys } from "../storeKeys.js";
import { cancelledJob, decodeRecord } from "./loadState.js";
import type { Scheduler } from "./Scheduler.js";
import { cancelJob, takeJob } from "./takeJob.js";

type Item = { readonly key: string; readonly revision: number; readonly value: Uint8Array };

/**
 * Follows the jobs and cancellations that any daemon stores during a term.
 *
 * @param scheduler - The scheduler.
 * @param from - Revision up to which the jobs are known.
 */
export async function watchJobs(scheduler: Scheduler, from: number): Promise<void> {
    const { signal } = scheduler.ownership;
    let revision = from;
    while (!signal.aborted) {
        const seen = await scheduler.store.watch(storeKeys.jobPrefix, revision, MAX_WATCH_WAIT_MS, signal);
        if (signal.aborted) {
            return;
        }
        if (seen.isOk()) {
            seen.value.events.forEach(({ key, revision: at, value }) => {
                if (value !== undefined) {
                    takeItem(scheduler, { key, revision: at, value });
                }
            });
            revision = seen.value.revision;
            continue;
        }
        scheduler.log.warn("The watch of jobs ends.", { reason: seen.error.kind, revision });
        if (seen.error.kind === "compacted") {
            revision = await listAgain(scheduler) ?? revision;
        }
        else {
            await scheduler.pause(STORE_RETRY_MS, signal);
        }
    }
}

async function listAgain(scheduler: Scheduler): Promise<number | undefined> {
    const listed = await scheduler.store.list(storeKeys.jobPrefix);
    if (listed.isErr()) {
        await scheduler.pause(STORE_RETRY_MS, scheduler.ownership.signal);
        return undefined;
    }
    listed.value.items.forEach(item => takeItem(scheduler, item));
    return listed.value.revision;
}

function takeItem(scheduler: Scheduler, item: Item): void {
    const cancelled = cancelledJob(item.key);
    if (cancelled !== undefined) {
        cancelJob(scheduler, cancelled);
        return;
    }
    const job = decodeRecord(scheduler, JobSchema, item);
    if (job !== undefined) {
        takeJob(scheduler, job, item.revision);
    }
}
