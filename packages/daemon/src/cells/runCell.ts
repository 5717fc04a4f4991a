import type { StoreError } from "@balsamward/coordination";
import { findShortfalls, measureFragmentation, planPlacement } from "@balsamward/placement";
import type {
    CancelJobResponse,
    CellSummary,
    GetJobResponse,
    InspectCellResponse,
    Job,
    JobId,
    SubmitJobResponse,
    WorkerId,
} from "@balsamward/schema";
import {
    CancelJobResponseSchema,
    CellSummarySchema,
    GetJobResponseSchema,
    JobStage,
    Outcome,
    Reason,
    SubmitJobResponseSchema,
} from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import { createTaskGroup } from "../_lib/createTaskGroup.js";
import { SCHEDULE_PASS_MS, WORKER_RENEWAL_MS } from "../constants.js";
import type { CellBook, CellContext } from "./CellBook.js";
import { openCellBook } from "./CellBook.js";
import { inspectCell } from "./inspectCell.js";
import { isQueued, rebuildCell } from "./rebuildCell.js";
import { finishGang, isFinished, renewWorkers } from "./renewWorkers.js";
import { candidateOf, scheduleJobs } from "./scheduleJobs.js";
import { endJob, requeueGang, startMembers } from "./startGang.js";

/** A cell that this daemon owns. */
export type OwnedCell = {
    readonly epoch: number;
    readonly submit: (job: Job) => Promise<SubmitJobResponse>;
    readonly get: (job: JobId) => GetJobResponse;
    readonly cancel: (job: JobId) => Promise<CancelJobResponse>;
    readonly inspect: () => InspectCellResponse;
    readonly summarize: () => CellSummary;
    /** Runs the cell until the signal aborts or another daemon has taken it. */
    readonly run: (signal: AbortSignal) => Promise<void>;
};

/**
 * Opens a cell for this daemon: reads its durable state, asks every worker for its reservations and
 * reconciles the two before any promise is made.
 *
 * @param context - What the owner works with; its epoch is the revision of the ownership.
 * @returns The owned cell, or the store error that keeps it closed.
 *
 * @example
 * const owned = await openCell(context);
 */
export async function openCell(context: CellContext): Promise<Result<OwnedCell, StoreError>> {
    const tasks = createTaskGroup(error =>
        context.log.error("A task of a cell fails.", { error: String(error) })
    );
    const opened = await openCellBook(context, tasks);
    if (opened.isErr()) {
        return opened.map(() => undefined as never);
    }
    const book = opened.value;
    rebuildCell(book);
    const open = [...book.jobs.values()].filter(isBetweenSteps);
    await renewWorkers(book);
    open.forEach(job => resumeGang(book, job));
    return ok({
        epoch: context.epoch,
        submit: job => submitJob(book, job),
        get: id => getJob(book, id),
        cancel: id => cancelJob(book, id),
        inspect: () => inspectCell(book),
        summarize: () => summarizeCell(book),
        run: signal => runCell(book, signal),
    });
}

function isBetweenSteps(job: Job): boolean {
    return job.stage === JobStage.RESERVING || job.stage === JobStage.STARTING
        || job.stage === JobStage.STOPPING;
}

/** Takes up the step that the last owner left open; a gang that has finished is not run again. */
function resumeGang(book: CellBook, job: Job): void {
    if (isFinished(job)) {
        book.tasks.start(() => finishGang(book, job));
    }
    else if (job.stage === JobStage.STARTING) {
        book.tasks.start(() => startMembers(book, job));
    }
    else {
        book.tasks.start(() => requeueGang(book, job, Reason.PREEMPTED));
    }
}

async function runCell(book: CellBook, signal: AbortSignal): Promise<void> {
    let renewing = Promise.resolve();
    let renewedAt = 0;
    while (!signal.aborted && !book.fenced) {
        refreshCell(book);
        if (book.context.clock() - renewedAt >= WORKER_RENEWAL_MS) {
            renewedAt = book.context.clock();
            renewing = renewWorkers(book);
        }
        if (book.context.isLeaseValid()) {
            scheduleJobs(book);
        }
        book.context.metrics.shortfalls.set({ cell: book.context.id }, findShortfalls(book.cell).length);
        const woken = new Promise<void>(resolve => {
            book.wake = resolve;
        });
        await Promise.race([woken, book.context.pause(SCHEDULE_PASS_MS, signal)]);
    }
    await renewing;
    await book.tasks.settled();
    if (!book.fenced) {
        await book.commits.commit();
    }
    book.context.metrics.shortfalls.remove({ cell: book.context.id });
}

function refreshCell(book: CellBook): void {
    const generation = book.context.configured()?.configuration.generation ?? 0n;
    const listed = book.context.listWorkers();
    const changed = listed.length !== book.workers.size
        || listed.some(vm => {
            const record = book.workers.get(vm.id as WorkerId);
            return record === undefined || record.address !== vm.address
                || record.leaving !== (vm.state === "leaving");
        });
    if (changed || generation !== book.generation) {
        rebuildCell(book);
    }
}

async function submitJob(book: CellBook, job: Job): Promise<SubmitJobResponse> {
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

function getJob(book: CellBook, id: JobId): GetJobResponse {
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

async function cancelJob(book: CellBook, id: JobId): Promise<CancelJobResponse> {
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

function summarizeCell(book: CellBook): CellSummary {
    const unused = new Map<string, { customer: string; guarantee: string; gangs: number }>();
    for (const { unit, user, slot } of book.cell.bindings) {
        if (user === undefined && slot !== undefined) {
            const key = `${unit.customer} ${unit.guarantee}`;
            const gangs = (unused.get(key)?.gangs ?? 0) + 1;
            unused.set(key, { customer: unit.customer, guarantee: unit.guarantee, gangs });
        }
    }
    return create(CellSummarySchema, {
        cell: book.context.id,
        freeAccelerators: measureFragmentation(book.cell).freeAccelerators,
        queuedJobs: [...book.jobs.values()].filter(isQueued).length,
        unused: [...unused.values()],
    });
}
