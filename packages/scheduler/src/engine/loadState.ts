import { JobSchema, ProgressSchema, RosterRecordSchema } from "@balsamward/schema/scheduling";
import { fromBinary } from "@bufbuild/protobuf";
import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { createBell } from "../_lib/createBell.js";
import { OWNER_LEASE_MS } from "../constants.js";
import type { JobId, WorkerId } from "../ids.js";
import { keys } from "../keys.js";
import type { StoreError, StoreItem } from "../ports/FleetStore.js";
import { createWorkerEntry } from "../state/WorkerEntry.js";
import { cancelJob, registerJob } from "./registerJob.js";
import type { Scheduler } from "./Scheduler.js";
import { addWorker, applyReports } from "./watchFleet.js";
import { maxLeaseMs, maxMonotonicMs } from "./workerClock.js";

/**
 * Loads what earlier owners left: jobs, progress, cancellations and the workers they used.
 *
 * @param scheduler - The scheduler of a term that has just begun.
 * @returns The revision from which the jobs can be watched, or the store's error.
 */
export async function loadState(scheduler: Scheduler): Promise<Result<number, StoreError>> {
    const [jobs, progressRecords, roster, reports] = await Promise.all([
        scheduler.store.list(keys.jobs),
        scheduler.store.list(keys.progresses),
        scheduler.store.read(keys.roster),
        scheduler.listWorkers(),
    ]);
    if (jobs.isErr()) {
        return err(jobs.error);
    }
    if (progressRecords.isErr()) {
        return err(progressRecords.error);
    }
    if (roster.isErr()) {
        return err(roster.error);
    }
    if (reports === undefined) {
        return err({ kind: "unavailable", message: "The list of workers cannot be read. Try again later." });
    }
    restoreJobs(scheduler, jobs.value.items, progressRecords.value.items);
    restoreRoster(scheduler, roster.value);
    applyReports(scheduler, reports);
    return ok(jobs.value.revision);
}

/** Decodes a stored record; one that cannot be read is logged and left out. */
export function decodeRecord<Desc extends DescMessage>(
    scheduler: Pick<Scheduler, "log">,
    desc: Desc,
    item: { readonly key: string; readonly value: Uint8Array },
): MessageShape<Desc> | undefined {
    try {
        return fromBinary(desc, item.value);
    }
    catch (error) {
        scheduler.log.error("A stored record cannot be read. Remove it.", {
            key: item.key,
            error: String(error),
        });
        return undefined;
    }
}

function restoreJobs(
    scheduler: Scheduler,
    items: readonly StoreItem[],
    progressItems: readonly StoreItem[],
): void {
    const progresses = new Map(progressItems.map(item => [item.key, item]));
    const cancelled: JobId[] = [];
    for (const item of items) {
        const id = parseCancelledJob(item.key);
        if (id !== undefined) {
            cancelled.push(id);
            continue;
        }
        const job = decodeRecord(scheduler, JobSchema, item);
        if (job === undefined) {
            continue;
        }
        const progressItem = progresses.get(keys.progress(job.id));
        const progress = progressItem === undefined
            ? undefined
            : decodeRecord(scheduler, ProgressSchema, progressItem);
        registerJob(scheduler, job, item.revision, {
            ...(progress === undefined
                ? {}
                : { progress: { message: progress, revision: progressItem!.revision } }),
        });
    }
    cancelled.forEach(id => cancelJob(scheduler, id));
}

/**
 * Returns the job that a key cancels.
 *
 * @param key - A key of the jobs' prefix.
 * @returns The job's id, or `undefined` if the key holds a job.
 */
export function parseCancelledJob(key: string): JobId | undefined {
    const [id, kind] = key.slice(keys.jobs.length).split("/");
    return kind === undefined ? undefined : id as JobId;
}

function restoreRoster(scheduler: Scheduler, item: StoreItem | undefined): void {
    if (item === undefined) {
        return;
    }
    scheduler.rosterRevision = item.revision;
    const record = decodeRecord(scheduler, RosterRecordSchema, item);
    for (const { worker, address } of record?.workers ?? []) {
        const id = worker as WorkerId;
        scheduler.roster.add(id);
        scheduler.unreconciledWorkers.add(id);
        addWorker(scheduler, createWorkerEntry(id, address, 0, createBell(scheduler.pause)));
    }
    const leaseMs = maxMonotonicMs(maxLeaseMs(scheduler.bounds.maxHoldMs));
    scheduler.unknownRunsEndAt = scheduler.clock() + OWNER_LEASE_MS + leaseMs;
}
