import type { Job, JobId, WorkerId } from "@balsamward/schema";
import { JobStage, Outcome, Reason } from "@balsamward/schema";
import { RESERVATION_TTL_MS } from "../constants.js";
import type { ReservationReport } from "../fleet/WorkerClient.js";
import type { CellBook, WorkerRecord } from "./CellBook.js";
import { recordFinish, recordStartFailure, setHealth } from "./judgeWorker.js";
import { endJob, requeueGang } from "./startGang.js";
import { stopGang } from "./stopGang.js";

/**
 * Renews the reservations at every worker of a cell and acts on what the workers report.
 *
 * A reservation that the book does not know is stopped. A member that has ended although the gang
 * has not, or whose worker has not answered for the time to live, stops the whole gang.
 *
 * @param book - The book.
 *
 * @example
 * await renewWorkers(book);
 */
export async function renewWorkers(book: CellBook): Promise<void> {
    const unknown = await Promise.all([...book.workers.values()].map(worker => renewWorker(book, worker)));
    await settleUnknown(book, unknown.flat());
    for (const job of book.jobs.values()) {
        if (job.stage === JobStage.RUNNING) {
            checkGang(book, job);
        }
    }
}

const memberStates = new WeakMap<Job, Map<string, ReservationReport["state"]>>();

/** A reservation at a worker that no grant of the book stands for. */
type UnknownReservation = { readonly worker: WorkerRecord; readonly report: ReservationReport };

/** Renews one worker and returns the reservations that the book does not know. */
async function renewWorker(book: CellBook, worker: WorkerRecord): Promise<readonly UnknownReservation[]> {
    const settled = [...worker.settled];
    const sentAt = book.context.clock();
    const renewed = await book.context.workers.renew(worker.address, book.by, settled, RESERVATION_TTL_MS);
    if (renewed.isErr()) {
        if (renewed.error.kind === "refused") {
            book.fenced ||= renewed.error.reason === "stale-epoch";
            return [];
        }
        setHealth(book, worker, false);
        return [];
    }
    worker.confirmedAt = sentAt;
    worker.settled = worker.settled.filter(id => !settled.includes(id));
    const unknown = renewed.value.filter(report => !recordReport(book, worker, report));
    const ejected = worker.ejectedUntil > book.context.clock();
    setHealth(book, worker, !ejected && !worker.leaving);
    return unknown.map(report => ({ worker, report }));
}

/**
 * Stops reservations that no grant stands for, counts their usage once, makes that durable, and only
 * then lets the workers forget them.
 */
async function settleUnknown(book: CellBook, unknown: readonly UnknownReservation[]): Promise<void> {
    const ended = await Promise.all(unknown.map(entry => stopUnknown(book, entry)));
    const settled = ended.filter(entry => entry !== undefined);
    settled.forEach(entry => countUnknown(book, entry));
    if (settled.length === 0 || (await book.commits.commit()).isErr()) {
        return;
    }
    for (const { worker, report } of settled) {
        worker.settled.push(report.id);
    }
}

/** Adds the usage of a reservation to its job, unless it is counted already. */
function countUnknown(book: CellBook, { worker, report }: UnknownReservation): void {
    const job = book.jobs.get(report.job as JobId);
    const member = `${report.id}@${worker.id}`;
    if (job === undefined) {
        book.context.metrics.unaccountedMs.inc(report.heldMs);
        book.context.log.warn("A reservation belongs to no job of the cell.", {
            job: report.job,
            held: report.heldMs,
        });
        return;
    }
    if (!job.counted.includes(report.id) && !job.counted.includes(member)) {
        job.counted.push(member);
        job.borrowedHeldMs += BigInt(report.heldMs);
    }
}

/** Enters a report into its job; false if no job of the book has the reservation. */
function recordReport(book: CellBook, worker: WorkerRecord, report: ReservationReport): boolean {
    const job = book.jobs.get(report.job as JobId);
    const grant = job?.grants.find(entry => entry.worker === worker.id && entry.reservation === report.id);
    if (job === undefined || grant === undefined) {
        return false;
    }
    const held = BigInt(report.heldMs);
    grant.heldMs = held > grant.heldMs ? held : grant.heldMs;
    const states = memberStates.get(job) ?? new Map<string, ReservationReport["state"]>();
    states.set(`${grant.worker} ${grant.reservation}`, report.state);
    memberStates.set(job, states);
    if (report.state === "finished") {
        recordFinish(worker);
    }
    return true;
}

/** Returns the reservation with its final report, or `undefined` if its worker does not answer. */
async function stopUnknown(
    book: CellBook,
    { worker, report }: UnknownReservation,
): Promise<UnknownReservation | undefined> {
    if (report.state !== "reserved" && report.state !== "running") {
        return { worker, report };
    }
    const stopped = await book.context.workers.stop(worker.address, book.by, report.id);
    return stopped.isOk() ? { worker, report: stopped.value } : undefined;
}

/**
 * Tells whether every member of a gang has finished, by the workers' last reports.
 *
 * @param job - The job.
 * @returns Whether it holds something and all of it has finished.
 *
 * @example
 * isFinished(job);
 */
export function isFinished(job: Job): boolean {
    return job.grants.length > 0 && memberStatesOf(job).every(state => state === "finished");
}

function memberStatesOf(job: Job): readonly (ReservationReport["state"] | undefined)[] {
    const states = memberStates.get(job);
    return job.grants.map(grant => states?.get(`${grant.worker} ${grant.reservation}`));
}

function checkGang(book: CellBook, job: Job): void {
    const seen = memberStatesOf(job);
    if (isFinished(job)) {
        job.stage = JobStage.STOPPING;
        book.tasks.start(() => finishGang(book, job));
        return;
    }
    const failed = job.grants.filter((grant, index) => seen[index] === "failed");
    const lost = job.grants.some((grant, index) => {
        const worker = book.workers.get(grant.worker as WorkerId);
        const lapsed = book.context.clock() - (worker?.confirmedAt ?? 0) > RESERVATION_TTL_MS;
        return seen[index] === "failed" || seen[index] === "lapsed" || seen[index] === "stopped" || lapsed;
    });
    if (!lost) {
        return;
    }
    for (const grant of failed) {
        const worker = book.workers.get(grant.worker as WorkerId);
        if (worker !== undefined) {
            recordStartFailure(book, worker, undefined);
        }
    }
    job.failures += failed.length > 0 ? 1 : 0;
    job.stage = JobStage.STOPPING;
    book.tasks.start(() => requeueGang(book, job, Reason.MEMBER_LOST));
}

/**
 * Ends a job whose members have all finished.
 *
 * @param book - The book.
 * @param job - The job.
 *
 * @example
 * await finishGang(book, job);
 */
export async function finishGang(book: CellBook, job: Job): Promise<void> {
    await stopGang(book, job);
    endJob(book, job, Outcome.COMPLETED, Reason.NONE);
    book.wake();
    await book.commits.commit();
}
