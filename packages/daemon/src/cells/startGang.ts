import type { PlacementPlan, WorkerPlacement } from "@balsamward/placement";
import { recordAllocation, releaseAllocation } from "@balsamward/placement";
import type { Grant, Job, JobId, WorkerId } from "@balsamward/schema";
import { GrantSchema, JobStage, Outcome, Reason, reasonName, Standing } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { MAX_JOB_FAILURES, RESERVATION_TTL_MS } from "../constants.js";
import type { CellRuntime } from "./CellRuntime.js";
import { toAllocation } from "./rebuildCell.js";
import { preemptGang, stopGang } from "./stopGang.js";
import { recordTaskFailure } from "./workerHealth.js";

/**
 * Applies a placement plan: releases the allocations of the preemption victims and allocates the job's accelerators.
 *
 * Runs synchronously, so that no other plan can use the same accelerators.
 *
 * @param runtime - The cell's runtime.
 * @param job - The queued job.
 * @param plan - The placement plan.
 * @returns The victims, which the caller must stop before it starts the job.
 *
 * @example
 * const victims = applyPlan(runtime, job, plan);
 */
export function applyPlan(runtime: CellRuntime, job: Job, plan: PlacementPlan): readonly Job[] {
    const victims = plan.victims.map(id => runtime.jobs.get(id)!).filter(victim => victim !== undefined);
    for (const victim of victims) {
        releaseAllocation(runtime.cell, victim.id as JobId);
        runtime.preemptedJobs.add(victim.id as JobId);
        victim.stage = JobStage.STOPPING;
    }
    job.attempts += 1;
    job.stage = JobStage.RESERVING;
    job.standing = plan.standing.kind === "guaranteed" ? Standing.GUARANTEED : Standing.BORROWED;
    job.guarantee = plan.standing.kind === "guaranteed" ? plan.standing.guarantee : "";
    const reservation = `${job.id}-${runtime.owner.epoch}-${job.attempts}`;
    const toGrant = (placed: WorkerPlacement) => create(GrantSchema, { ...placed, reservation });
    job.slot = plan.standing.kind === "guaranteed" ? plan.standing.slot.map(toGrant) : [];
    job.grants = plan.placement.map(toGrant);
    recordAllocation(runtime.cell, toAllocation(runtime, job));
    return victims;
}

/**
 * Starts all members of a gang or none.
 *
 * Preempts the victims, reserves accelerators for every member, stores the decision, and only then
 * starts the members. If any step fails, the whole gang is stopped and its job is queued again.
 *
 * @param runtime - The cell's runtime, to which the plan is already applied.
 * @param job - The job.
 * @param victims - Jobs to preempt, because the gang takes their accelerators.
 *
 * @example
 * await startGang(runtime, job, applyPlan(runtime, job, plan));
 */
export async function startGang(runtime: CellRuntime, job: Job, victims: readonly Job[]): Promise<void> {
    await Promise.all(victims.map(victim => preemptGang(runtime, victim)));
    if (!await reserveMembers(runtime, job)) {
        await requeueGang(runtime, job, Reason.NO_ENDPOINT);
        return;
    }
    job.stage = JobStage.STARTING;
    const committed = await runtime.commits.commit();
    if (committed.isErr()) {
        runtime.context.log.warn(
            "The start of a gang cannot be stored; the gang is stopped and its job is queued again.",
            {
                job: job.id,
                error: committed.error.message,
            },
        );
        await requeueGang(runtime, job, Reason.STORE_UNAVAILABLE);
        return;
    }
    await startMembers(runtime, job);
}

/**
 * Starts the members of a gang whose reservations are stored.
 *
 * @param runtime - The cell's runtime.
 * @param job - The job; a member that is already running keeps running.
 *
 * @example
 * await startMembers(runtime, job);
 */
export async function startMembers(runtime: CellRuntime, job: Job): Promise<void> {
    if (job.cancelled || runtime.fenced) {
        await requeueGang(runtime, job, Reason.CANCELLED);
        return;
    }
    const results = await Promise.all(job.grants.map(grant => startMember(runtime, job, grant)));
    if (!results.every(started => started)) {
        job.failures += 1;
        await requeueGang(runtime, job, Reason.MEMBER_LOST);
        return;
    }
    if (job.stage !== JobStage.STARTING) {
        return;
    }
    job.stage = JobStage.RUNNING;
    job.startedAtMs = BigInt(runtime.context.clock());
    runtime.context.metrics.gangEvents.inc({ event: "started", reason: "none" });
    runtime.context.log.info("A gang runs.", {
        job: job.id,
        generation: String(runtime.generation),
        epoch: runtime.owner.epoch,
    });
    await runtime.commits.commit();
}

/**
 * Stops a gang and queues its job again, or ends the job if it was cancelled or has failed too often.
 *
 * @param runtime - The cell's runtime.
 * @param job - The job.
 * @param reason - Why the gang stops.
 *
 * @example
 * await requeueGang(runtime, job, Reason.MEMBER_LOST);
 */
export async function requeueGang(runtime: CellRuntime, job: Job, reason: Reason): Promise<void> {
    runtime.context.metrics.gangEvents.inc({ event: "stopped", reason: reasonName(reason) });
    runtime.context.log.info("A gang is stopped.", { job: job.id, reason: reasonName(reason) });
    await stopGang(runtime, job);
    if (job.cancelled) {
        endJob(runtime, job, Outcome.FAILED, Reason.CANCELLED);
    }
    else if (job.failures >= MAX_JOB_FAILURES) {
        endJob(runtime, job, Outcome.FAILED, reason);
    }
    else {
        job.stage = JobStage.QUEUED;
        job.reason = reason;
    }
    runtime.wakeScheduler();
    await runtime.commits.commit();
}

/**
 * Marks a job that holds no accelerators as ended.
 *
 * @param runtime - The cell's runtime.
 * @param job - The job.
 * @param outcome - The outcome of the job.
 * @param reason - Why the job did not complete, or `NONE`.
 *
 * @example
 * endJob(runtime, job, Outcome.COMPLETED, Reason.NONE);
 */
export function endJob(runtime: CellRuntime, job: Job, outcome: Outcome, reason: Reason): void {
    job.stage = JobStage.ENDED;
    job.outcome = outcome;
    job.reason = reason;
    job.endedAtMs = BigInt(runtime.context.clock());
    runtime.context.metrics.gangEvents.inc({ event: "ended", reason: reasonName(reason) });
}

async function reserveMembers(runtime: CellRuntime, job: Job): Promise<boolean> {
    const results = await Promise.all(job.grants.map(async grant => {
        const worker = runtime.workers.get(grant.worker as WorkerId);
        if (worker === undefined || runtime.fenced) {
            return false;
        }
        const reserved = await runtime.context.workerClient.reserve(worker.address, runtime.owner, {
            id: grant.reservation,
            job: job.id,
            customer: job.customer,
            accelerators: grant.accelerators,
            ttlMs: RESERVATION_TTL_MS,
        });
        if (reserved.isErr()) {
            recordTaskFailure(runtime, worker, reserved.error);
        }
        return reserved.isOk() && reserved.value.state === "reserved";
    }));
    return results.every(reserved => reserved);
}

async function startMember(runtime: CellRuntime, job: Job, grant: Grant): Promise<boolean> {
    const worker = runtime.workers.get(grant.worker as WorkerId);
    if (worker === undefined) {
        return false;
    }
    const runMs = Number(job.declaredRunMs);
    const started = await runtime.context.workerClient.start(
        worker.address,
        runtime.owner,
        grant.reservation,
        runMs,
    );
    if (started.isErr()) {
        recordTaskFailure(runtime, worker, started.error);
        return false;
    }
    if (started.value.state === "failed") {
        recordTaskFailure(runtime, worker, undefined);
    }
    return started.value.state === "running" || started.value.state === "finished";
}
