import type { Job } from "@balsamward/schema/scheduling";
import { JobSchema, ProgressSchema } from "@balsamward/schema/scheduling";
import { decodeRecord } from "../../_lib/decodeRecord.js";
import type { JobId } from "../../ids.js";
import type { StoreItem } from "../../ports/FleetStore.js";
import { storeKeys } from "../../storeKeys.js";
import { registerJob } from "../jobs/registerJob.js";
import type { Scheduler } from "../Scheduler.js";
import { isSoundJob } from "./isSoundJob.js";
import { isSoundProgress } from "./isSoundProgress.js";

/**
 * Registers a job with its stored progress.
 *
 * @param scheduler - The scheduler.
 * @param item - Store item of the job; a malformed one is logged and ignored.
 * @param progressItem - Store item of the job's progress, if there is any.
 */
export function restoreJob(
    scheduler: Scheduler,
    item: StoreItem,
    progressItem: StoreItem | undefined,
): void {
    const job = decodeJobRecord(scheduler, item);
    if (job === undefined) {
        return;
    }
    const progress = progressItem === undefined
        ? undefined
        : decodeRecord(scheduler, ProgressSchema, progressItem, {
            isSound: record => isSoundProgress(record, job),
        });
    registerJob(scheduler, job, item.revision, {
        ...(progress === undefined
            ? {}
            : { progress: { message: progress, revision: progressItem!.revision } }),
    });
}

/**
 * Decodes a stored job.
 *
 * @param scheduler - The scheduler.
 * @param item - Store item of the job.
 * @returns The job, or `undefined` if it is malformed or cannot be scheduled.
 */
export function decodeJobRecord(
    scheduler: Scheduler,
    item: { readonly key: string; readonly value: Uint8Array },
): Job | undefined {
    return decodeRecord(scheduler, JobSchema, item, {
        isSound: job => isSoundJob(job, parseJobKey(item.key)),
    });
}

/**
 * Parses the job id from the key of a job.
 *
 * @param key - A store key under the prefix of jobs.
 * @returns The id, not validated.
 */
export function parseJobKey(key: string): string {
    return key.slice(storeKeys.jobPrefix.length);
}

/**
 * Parses the job id from the key of a cancellation.
 *
 * @param key - A store key under the prefix of jobs.
 * @returns The id of the cancelled job, or `undefined` if the key is that of a job.
 */
export function parseCancellationKey(key: string): JobId | undefined {
    const [id, kind] = key.slice(storeKeys.jobPrefix.length).split("/");
    return kind === undefined ? undefined : id as JobId;
}
