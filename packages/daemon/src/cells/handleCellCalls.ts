import type { StoreError } from "@balsamward/coordination";
import { planPlacement } from "@balsamward/placement";
import type { CancelJobResponse, GetJobResponse, Job, JobId, SubmitJobResponse } from "@balsamward/schema";
import {
    CancelJobResponseSchema,
    GetJobResponseSchema,
    JobStage,
    Outcome,
    Reason,
    SubmitJobResponseSchema,
} from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { CellBook } from "./CellBook.js";
import { isQueued } from "./rebuildCell.js";
import { candidateOf } from "./scheduleJobs.js";
import { endJob, requeueGang } from "./startGang.js";

/**
 * Takes a job into a cell; a job that the cell has already is left as it is.
 *
 * @param book - The book.
 * @param job - The job.
 * @returns Whether the job is durable: `completed`, `refused` if it will not run, or `unknown`.
 *
 * @example
 * await submitJob(book, job);
 */
export async function submitJob(book: CellBook, job: Job): Promise<SubmitJobResponse> {
    const known = book.jobs.get(job.id as JobId);
    if (known === undefined) {
        book.jobs.set(job.id as JobId, job);
    }
    const durable = await book.commits.commit();
    if (durable.isErr()) {
        return refuseSubmission(book, job, durable.error);
    }
    book.wake();
    return create(SubmitJobResponseSchema, {
        outcome: Outcome.COMPLETED,
        reason: Reason.NONE,
        job: known ?? job,
    });
}

/** A submission that is not durable is taken back while it holds nothing, so that it cannot run. */
function refuseSubmission(book: CellBook, job: Job, error: StoreError): SubmitJobResponse {
    const current = book.jobs.get(job.id as JobId);
    const clear = error.kind === "unavailable" && current?.attempts === 0;
    if (clear) {
        book.jobs.delete(job.id as JobId);
    }
    return create(
        SubmitJobResponseSchema,
        clear
            ? { outcome: Outcome.REFUSED, reason: Reason.STORE_UNAVAILABLE }
            : { outcome: Outcome.UNKNOWN, reason: Reason.STORE_UNCLEAR },
    );
}

/**
 * Returns a job with the constraint that holds it while it waits.
 *
 * @param book - The book.
 * @param id - The job.
 * @returns The job, or an empty answer if the cell does not have it.
 *
 * @example
 * getJob(book, id).explanation;
 */
export function getJob(book: CellBook, id: JobId): GetJobResponse {
    const job = book.jobs.get(id);
    if (job === undefined) {
        return create(GetJobResponseSchema);
    }
    const plan = isQueued(job) ? planPlacement(book.cell, candidateOf(book, job)) : undefined;
    const explanation = plan === undefined
        ? ""
        : plan.isOk()
        ? "The job starts in the next pass."
        : plan.error.message;
    return create(GetJobResponseSchema, { job, explanation });
}

/**
 * Cancels a job; a running gang is stopped whole.
 *
 * @param book - The book.
 * @param id - The job.
 * @returns Whether the cancellation is durable, or `refused` if the cell does not have the job.
 *
 * @example
 * await cancelJob(book, id);
 */
export async function cancelJob(book: CellBook, id: JobId): Promise<CancelJobResponse> {
    const job = book.jobs.get(id);
    if (job === undefined) {
        return create(CancelJobResponseSchema, { outcome: Outcome.REFUSED, reason: Reason.NOT_FOUND });
    }
    if (job.stage !== JobStage.ENDED) {
        job.cancelled = true;
    }
    if (job.stage === JobStage.QUEUED) {
        endJob(book, job, Outcome.FAILED, Reason.CANCELLED);
    }
    else if (job.stage === JobStage.RUNNING) {
        job.stage = JobStage.STOPPING;
        book.tasks.start(() => requeueGang(book, job, Reason.CANCELLED));
    }
    const durable = await book.commits.commit();
    return create(CancelJobResponseSchema, {
        outcome: durable.isOk() ? Outcome.COMPLETED : Outcome.UNKNOWN,
        reason: durable.isOk() ? Reason.NONE : Reason.STORE_UNCLEAR,
        job,
    });
}
