import type { Job, Progress } from "@balsamward/schema/scheduling";
import { JobSchema, ProgressSchema } from "@balsamward/schema/scheduling";
import { decodeRecord } from "../../_lib/decodeRecord.js";
import type { JobId } from "../../ids.js";
import type { StoreItem } from "../../ports/FleetStore.js";
import { MAX_PROGRESS_PARTS } from "../../state/encodeCheckpointParts.js";
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
 * @param progressItems - Store items under the key of the job's progress: the progress and its parts, if there are any.
 */
export function restoreJob(
    scheduler: Scheduler,
    item: StoreItem,
    progressItems: readonly StoreItem[],
): void {
    const job = decodeJobRecord(scheduler, item);
    if (job === undefined) {
        return;
    }
    const decode = (progressItem: StoreItem): Progress | undefined =>
        decodeRecord(scheduler, ProgressSchema, progressItem, {
            isSound: record => isSoundProgress(record, job),
        });
    const mainItem = progressItems.find(({ key }) => key === storeKeys.progress(job.id));
    const partItems = progressItems.filter(progressItem => progressItem !== mainItem);
    const progress = mainItem === undefined ? undefined : decode(mainItem);
    registerJob(scheduler, job, item.revision, {
        ...(progress === undefined ? {} : { progress: { message: progress, revision: mainItem!.revision } }),
        parts: partItems.map(decode).filter(part => part !== undefined),
        partCount: countParts(partItems),
    });
}

/** Returns how many parts, numbered from 0, may be stored; a part that is not listed may have been removed. */
function countParts(items: readonly StoreItem[]): number {
    const numbers = items.map(({ key }) => Number(key.slice(key.lastIndexOf("/") + 1)));
    return Math.max(0, ...numbers.map(number => number < MAX_PROGRESS_PARTS ? number + 1 : 0));
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
 * Parses the job id from the key of a job's progress or of a part of it.
 *
 * @param key - A store key under the prefix of progress.
 * @returns The id, not validated.
 */
export function parseProgressKey(key: string): string {
    return key.slice(storeKeys.progressPrefix.length).split("/")[0]!;
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
