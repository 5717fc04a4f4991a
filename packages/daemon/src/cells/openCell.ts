import type { StoreError } from "@balsamward/coordination";
import { findShortfalls } from "@balsamward/placement";
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
import { JobStage, Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { createTaskGroup } from "../_lib/createTaskGroup.js";
import { SCHEDULING_INTERVAL_MS, WORKER_RENEWAL_INTERVAL_MS } from "../constants.js";
import type { CellBook, CellContext } from "./CellBook.js";
import { openCellBook } from "./CellBook.js";
import { cancelJob, getJob, submitJob } from "./handleCellCalls.js";
import { inspectCell } from "./inspectCell.js";
import { rebuildCell } from "./rebuildCell.js";
import { finishGang, isFinished, renewWorkers } from "./renewWorkers.js";
import { scheduleJobs } from "./scheduleJobs.js";
import { requeueGang, startMembers } from "./startGang.js";
import { summarizeCell } from "./summarizeCell.js";

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
        return err(opened.error);
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
        if (book.context.clock() - renewedAt >= WORKER_RENEWAL_INTERVAL_MS) {
            renewedAt = book.context.clock();
            renewing = renewWorkers(book);
        }
        if (book.context.isLeaseValid()) {
            scheduleJobs(book);
        }
        book.context.metrics.guaranteeShortfalls.set(
            { cell: book.context.id },
            findShortfalls(book.cell).length,
        );
        const woken = new Promise<void>(resolve => {
            book.wake = resolve;
        });
        await Promise.race([woken, book.context.pause(SCHEDULING_INTERVAL_MS, signal)]);
    }
    await renewing;
    await book.tasks.waitForAll();
    if (!book.fenced) {
        await book.commits.commit();
    }
    book.context.metrics.guaranteeShortfalls.remove({ cell: book.context.id });
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
