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
import type { CellRuntime } from "./CellRuntime.js";
import { endJob } from "./endJob.js";
import { isQueued } from "./rebuildCell.js";
import { requeueGang } from "./requeueGang.js";
import { toCandidate } from "./scheduleJobs.js";

/**
 * Adds a job to a cell and stores it; a job that the cell already has stays unchanged.
 *
 * @param runtime - The cell's runtime.
 * @param job - The job.
 * @returns `completed` if the job is stored, `refused` if it will not run, `unknown` if the outcome is unclear.
 *
 * @example
 * await submitJob(runtime, job);
 */
export async function submitJob(runtime: CellRuntime, job: Job): Promise<SubmitJobResponse> {
    const id = job.id as JobId;
    const existing = runtime.jobs.get(id);
    if (existing === undefined) {
        runtime.jobs.set(id, job);
    }
    const committed = await runtime.commits.commit();
    if (committed.isErr()) {
        return existing === undefined
            ? undoSubmission(runtime, job, committed.error)
            : createUnknownResponse();
    }
    if (!runtime.jobs.has(id)) {
        // The submission that had added the job was refused while this one waited for its write.
        return submitJob(runtime, job);
    }
    runtime.wakeScheduler();
    return create(SubmitJobResponseSchema, {
        outcome: Outcome.COMPLETED,
        reason: Reason.NONE,
        job: existing ?? job,
    });
}

/**
 * Removes a job whose write has certainly failed, so that it cannot run, unless it has been attempted, or an earlier
 * write that contains it may still be carried out.
 *
 * In all other cases the outcome of the submission is unknown.
 */
function undoSubmission(runtime: CellRuntime, job: Job, error: StoreError): SubmitJobResponse {
    const current = runtime.jobs.get(job.id as JobId);
    if (error.kind !== "unavailable" || runtime.hasUnclearWrite || current?.attempts !== 0) {
        return createUnknownResponse();
    }
    runtime.jobs.delete(job.id as JobId);
    return create(SubmitJobResponseSchema, { outcome: Outcome.REFUSED, reason: Reason.STORE_UNAVAILABLE });
}

function createUnknownResponse(): SubmitJobResponse {
    return create(SubmitJobResponseSchema, { outcome: Outcome.UNKNOWN, reason: Reason.STORE_UNCLEAR });
}

/**
 * Returns a job and, while it is queued, the reason why it has not started.
 *
 * @param runtime - The cell's runtime.
 * @param id - Id of the job.
 * @returns The job with its explanation, or an empty response if the cell does not have the job.
 *
 * @example
 * getJob(runtime, id).explanation;
 */
export function getJob(runtime: CellRuntime, id: JobId): GetJobResponse {
    const job = runtime.jobs.get(id);
    if (job === undefined) {
        return create(GetJobResponseSchema);
    }
    const plan = isQueued(job) ? planPlacement(runtime.cell, toCandidate(runtime, job)) : undefined;
    const explanation = plan === undefined
        ? ""
        : plan.isOk()
        ? "The job starts in the next scheduling pass."
        : plan.error.message;
    return create(GetJobResponseSchema, { job, explanation });
}

/**
 * Cancels a job; all members of a running gang are stopped.
 *
 * @param runtime - The cell's runtime.
 * @param id - Id of the job.
 * @returns `completed` if the cancellation is stored, `unknown` if that is unclear, or `refused` if the cell
 * does not have the job.
 *
 * @example
 * await cancelJob(runtime, id);
 */
export async function cancelJob(runtime: CellRuntime, id: JobId): Promise<CancelJobResponse> {
    const job = runtime.jobs.get(id);
    if (job === undefined) {
        return create(CancelJobResponseSchema, { outcome: Outcome.REFUSED, reason: Reason.NOT_FOUND });
    }
    if (job.stage !== JobStage.ENDED) {
        job.cancelled = true;
    }
    if (job.stage === JobStage.QUEUED) {
        endJob(runtime, job, Outcome.FAILED, Reason.CANCELLED);
    }
    else if (job.stage === JobStage.RUNNING) {
        job.stage = JobStage.STOPPING;
        runtime.tasks.start(() => requeueGang(runtime, job, Reason.CANCELLED));
    }
    const committed = await runtime.commits.commit();
    return create(CancelJobResponseSchema, {
        outcome: committed.isOk() ? Outcome.COMPLETED : Outcome.UNKNOWN,
        reason: committed.isOk() ? Reason.NONE : Reason.STORE_UNCLEAR,
        job,
    });
}
