import type { PlacedMembers, Plan } from "@balsamward/placement";
import { occupyCell, releaseCell } from "@balsamward/placement";
import type { Grant, Job, JobId, WorkerId } from "@balsamward/schema";
import { GrantSchema, JobStage, Outcome, Reason, reasonName, Standing } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { MAX_JOB_FAILURES, RESERVATION_TTL_MS } from "../constants.js";
import type { CellBook } from "./CellBook.js";
import { recordStartFailure } from "./judgeWorker.js";
import { holdingOf } from "./rebuildCell.js";
import { preemptGang, stopGang } from "./stopGang.js";

/**
 * Enters a plan into the book: the victims lose their places, and the job takes its own.
 *
 * Runs without awaiting, so that no other plan can use the same accelerators.
 *
 * @param book - The book.
 * @param job - The queued job.
 * @param plan - The plan.
 * @returns The victims, which the caller stops before it starts the job.
 *
 * @example
 * const victims = enterPlan(book, job, plan);
 */
export function enterPlan(book: CellBook, job: Job, plan: Plan): readonly Job[] {
    const victims = plan.victims.map(id => book.jobs.get(id)!).filter(victim => victim !== undefined);
    for (const victim of victims) {
        releaseCell(book.cell, victim.id as JobId);
        book.displaced.add(victim.id as JobId);
        victim.stage = JobStage.STOPPING;
    }
    job.attempts += 1;
    job.stage = JobStage.RESERVING;
    job.standing = plan.standing.kind === "guaranteed" ? Standing.GUARANTEED : Standing.BORROWED;
    job.guarantee = plan.standing.kind === "guaranteed" ? plan.standing.guarantee : "";
    const reservation = `${job.id}-${book.by.epoch}-${job.attempts}`;
    const toGrant = (placed: PlacedMembers) => create(GrantSchema, { ...placed, reservation });
    job.slot = plan.standing.kind === "guaranteed" ? plan.standing.slot.map(toGrant) : [];
    job.grants = plan.placement.map(toGrant);
    occupyCell(book.cell, holdingOf(book, job));
    return victims;
}

/**
 * Starts a gang whole or not at all.
 *
 * Stops the victims, reserves every member, makes the decision durable, and only then starts the
 * members. If any step fails, the whole gang is stopped and the job waits again.
 *
 * @param book - The book, with the plan entered.
 * @param job - The job.
 * @param victims - Jobs whose accelerators the gang takes.
 *
 * @example
 * await startGang(book, job, enterPlan(book, job, plan));
 */
export async function startGang(book: CellBook, job: Job, victims: readonly Job[]): Promise<void> {
    await Promise.all(victims.map(victim => preemptGang(book, victim)));
    if (!await reserveMembers(book, job)) {
        await requeueGang(book, job, Reason.NO_ENDPOINT);
        return;
    }
    job.stage = JobStage.STARTING;
    const durable = await book.commits.commit();
    if (durable.isErr()) {
        book.context.log.warn("A gang's start is not durable.", {
            job: job.id,
            error: durable.error.message,
        });
        await requeueGang(book, job, Reason.STORE_UNAVAILABLE);
        return;
    }
    await startMembers(book, job);
}

/**
 * Starts the members of a gang whose reservations are durable.
 *
 * @param book - The book.
 * @param job - The job; a member that already runs stays as it is.
 *
 * @example
 * await startMembers(book, job);
 */
export async function startMembers(book: CellBook, job: Job): Promise<void> {
    if (job.cancelled || book.fenced) {
        await requeueGang(book, job, Reason.CANCELLED);
        return;
    }
    const results = await Promise.all(job.grants.map(grant => startMember(book, job, grant)));
    if (!results.every(started => started)) {
        job.failures += 1;
        await requeueGang(book, job, Reason.MEMBER_LOST);
        return;
    }
    if (job.stage !== JobStage.STARTING) {
        return;
    }
    job.stage = JobStage.RUNNING;
    job.startedAtMs = BigInt(book.context.clock());
    book.context.metrics.gangs.inc({ event: "started", reason: "none" });
    book.context.log.info("A gang runs.", {
        job: job.id,
        generation: String(book.generation),
        epoch: book.by.epoch,
    });
    await book.commits.commit();
}

/**
 * Stops a gang and lets its job wait again, or ends it if it was cancelled or failed too often.
 *
 * @param book - The book.
 * @param job - The job.
 * @param reason - Why the gang stops.
 *
 * @example
 * await requeueGang(book, job, Reason.MEMBER_LOST);
 */
export async function requeueGang(book: CellBook, job: Job, reason: Reason): Promise<void> {
    book.context.metrics.gangs.inc({ event: "stopped", reason: reasonName(reason) });
    book.context.log.info("A gang is stopped.", { job: job.id, reason: reasonName(reason) });
    await stopGang(book, job);
    if (job.cancelled) {
        endJob(book, job, Outcome.FAILED, Reason.CANCELLED);
    }
    else if (job.failures >= MAX_JOB_FAILURES) {
        endJob(book, job, Outcome.FAILED, reason);
    }
    else {
        job.stage = JobStage.QUEUED;
        job.reason = reason;
    }
    book.wake();
    await book.commits.commit();
}

/**
 * Ends a job that holds nothing.
 *
 * @param book - The book.
 * @param job - The job.
 * @param outcome - How it ended.
 * @param reason - Why, if it did not complete.
 *
 * @example
 * endJob(book, job, Outcome.COMPLETED, Reason.NONE);
 */
export function endJob(book: CellBook, job: Job, outcome: Outcome, reason: Reason): void {
    job.stage = JobStage.ENDED;
    job.outcome = outcome;
    job.reason = reason;
    job.endedAtMs = BigInt(book.context.clock());
    book.context.metrics.gangs.inc({ event: "ended", reason: reasonName(reason) });
}

async function reserveMembers(book: CellBook, job: Job): Promise<boolean> {
    const results = await Promise.all(job.grants.map(async grant => {
        const worker = book.workers.get(grant.worker as WorkerId);
        if (worker === undefined || book.fenced) {
            return false;
        }
        const reserved = await book.context.workers.reserve(worker.address, book.by, {
            id: grant.reservation,
            job: job.id,
            customer: job.customer,
            accelerators: grant.accelerators,
            ttlMs: RESERVATION_TTL_MS,
        });
        if (reserved.isErr()) {
            recordStartFailure(book, worker, reserved.error);
        }
        return reserved.isOk() && reserved.value.state === "reserved";
    }));
    return results.every(reserved => reserved);
}

async function startMember(book: CellBook, job: Job, grant: Grant): Promise<boolean> {
    const worker = book.workers.get(grant.worker as WorkerId);
    if (worker === undefined) {
        return false;
    }
    const runMs = Number(job.declaredRunMs);
    const started = await book.context.workers.start(worker.address, book.by, grant.reservation, runMs);
    if (started.isErr()) {
        recordStartFailure(book, worker, started.error);
        return false;
    }
    if (started.value.state === "failed") {
        recordStartFailure(book, worker, undefined);
    }
    return started.value.state === "running" || started.value.state === "finished";
}
