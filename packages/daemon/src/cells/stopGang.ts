import { releaseCell } from "@balsamward/placement";
import type { Grant, Job, JobId, WorkerId } from "@balsamward/schema";
import { JobStage, Reason, Standing } from "@balsamward/schema";
import { CHECKPOINT_GRACE_MS, RESERVATION_TTL_MS, WORKER_RENEWAL_INTERVAL_MS } from "../constants.js";
import type { CellBook } from "./CellBook.js";
import { requeueGang } from "./startGang.js";

/**
 * Stops every member of a gang and folds its usage into the job.
 *
 * Returns once each member is known to hold nothing: the worker said so, or its reservation has
 * certainly lapsed since the last renewal.
 *
 * @param book - The book.
 * @param job - The job; it holds nothing afterwards.
 *
 * @example
 * await stopGang(book, job);
 */
export async function stopGang(book: CellBook, job: Job): Promise<void> {
    job.stage = JobStage.STOPPING;
    await Promise.all(job.grants.map(grant => stopMember(book, grant)));
    const held = job.grants.reduce((sum, grant) => sum + grant.heldMs, 0n);
    if (job.standing === Standing.GUARANTEED) {
        job.guaranteedHeldMs += held;
    }
    else {
        job.borrowedHeldMs += held;
    }
    job.counted.push(...new Set(job.grants.map(grant => grant.reservation)));
    job.grants = [];
    job.slot = [];
    book.displaced.delete(job.id as JobId);
    releaseCell(book.cell, job.id as JobId);
}

/**
 * Checkpoints and stops a gang whose accelerators are reclaimed; its job waits again.
 *
 * A member that does not checkpoint within its kind's time and a grace is stopped without.
 *
 * @param book - The book.
 * @param job - The victim.
 *
 * @example
 * await preemptGang(book, victim);
 */
export async function preemptGang(book: CellBook, job: Job): Promise<void> {
    const kind = book.context.configured()?.document.kind[job.kind];
    const timeoutMs = (kind?.checkpointMs ?? 0) + CHECKPOINT_GRACE_MS;
    await Promise.all(job.grants.map(async grant => {
        const worker = book.workers.get(grant.worker as WorkerId);
        if (worker !== undefined) {
            await book.context.workers.checkpoint(worker.address, book.by, grant.reservation, timeoutMs);
        }
    }));
    await requeueGang(book, job, Reason.PREEMPTED);
}

async function stopMember(book: CellBook, grant: Grant): Promise<void> {
    const lapseAt = (record: { confirmedAt: number } | undefined) =>
        (record?.confirmedAt ?? 0) + RESERVATION_TTL_MS + WORKER_RENEWAL_INTERVAL_MS;
    const deadline = book.context.clock() + RESERVATION_TTL_MS + WORKER_RENEWAL_INTERVAL_MS;
    while (!book.fenced) {
        const worker = book.workers.get(grant.worker as WorkerId);
        if (worker === undefined) {
            return;
        }
        const stopped = await book.context.workers.stop(worker.address, book.by, grant.reservation);
        if (stopped.isOk()) {
            grant.heldMs = max(grant.heldMs, BigInt(stopped.value.heldMs));
            return;
        }
        if (stopped.error.kind === "refused") {
            book.fenced ||= stopped.error.reason === "stale-epoch";
            return;
        }
        if (book.context.clock() > Math.min(deadline, lapseAt(worker))) {
            return;
        }
        await book.context.pause(WORKER_RENEWAL_INTERVAL_MS / 2);
    }
}

function max(left: bigint, right: bigint): bigint {
    return left > right ? left : right;
}
