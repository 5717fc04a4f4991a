import type { Job, JobId } from "@balsamward/schema";
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
    await Promise.all([...book.workers.values()].map(worker => renewWorker(book, worker)));
    for (const job of book.jobs.values()) {
        if (job.stage === JobStage.RUNNING) {
            checkGang(book, job);
        }
    }
}

const memberStates = new WeakMap<Job, Map<string, ReservationReport["state"]>>();

async function renewWorker(book: CellBook, worker: WorkerRecord): Promise<void> {
    const settled = worker.settled;
    const sentAt = book.context.clock();
    const renewed = await book.context.workers.renew(worker.address, book.by, settled, RESERVATION_TTL_MS);
    if (renewed.isErr()) {
        if (renewed.error.kind === "refused") {
            book.fenced ||= renewed.error.reason === "stale-epoch";
            return;
        }
        setHealth(book, worker, false);
        return;
    }
    worker.confirmedAt = sentAt;
    worker.settled = worker.settled.filter(id => !settled.includes(id));
    const unknown = renewed.value.filter(report => !recordReport(book, worker, report));
    await Promise.all(unknown.map(report => stopUnknown(book, worker, report)));
    const ejected = worker.ejectedUntil > book.context.clock();
    setHealth(book, worker, !ejected && !worker.leaving);
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

async function stopUnknown(book: CellBook, worker: WorkerRecord, report: ReservationReport): Promise<void> {
    const active = report.state === "reserved" || report.state === "running";
    const stopped = !active || (await book.context.workers.stop(worker.address, book.by, report.id)).isOk();
    if (stopped && !worker.settled.includes(report.id)) {
        worker.settled.push(report.id);
    }
}

function checkGang(book: CellBook, job: Job): void {
    const states = memberStates.get(job);
    const seen = job.grants.map(grant => states?.get(`${grant.worker} ${grant.reservation}`));
    if (seen.every(state => state === "finished")) {
        job.stage = JobStage.STOPPING;
        book.tasks.start(() => finishGang(book, job));
        return;
    }
    const failed = job.grants.filter((grant, index) => seen[index] === "failed");
    const lost = job.grants.some((grant, index) => {
        const worker = [...book.workers.values()].find(entry => entry.id === grant.worker);
        const lapsed = book.context.clock() - (worker?.confirmedAt ?? 0) > RESERVATION_TTL_MS;
        return seen[index] === "failed" || seen[index] === "lapsed" || seen[index] === "stopped" || lapsed;
    });
    if (!lost) {
        return;
    }
    for (const grant of failed) {
        const worker = [...book.workers.values()].find(entry => entry.id === grant.worker);
        if (worker !== undefined) {
            recordStartFailure(book, worker, undefined);
        }
    }
    job.failures += failed.length > 0 ? 1 : 0;
    job.stage = JobStage.STOPPING;
    book.tasks.start(() => requeueGang(book, job, Reason.MEMBER_LOST));
}

async function finishGang(book: CellBook, job: Job): Promise<void> {
    await stopGang(book, job);
    endJob(book, job, Outcome.COMPLETED, Reason.NONE);
    book.wake();
    await book.commits.commit();
}
