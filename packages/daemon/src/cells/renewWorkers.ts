import type { Job, JobId, WorkerId } from "@balsamward/schema";
import { JobStage, Outcome, Reason } from "@balsamward/schema";
import { RESERVATION_TTL_MS } from "../constants.js";
import type { ReservationReport } from "../fleet/WorkerClient.js";
import type { CellRuntime, WorkerRecord } from "./CellRuntime.js";
import { endJob } from "./endJob.js";
import { requeueGang } from "./requeueGang.js";
import { stopGang } from "./stopGang.js";
import { recordTaskFailure, recordTaskSuccess, updateWorkerHealth } from "./workerHealth.js";

/**
 * Renews the reservations at every worker of a cell and acts on the workers' reports.
 *
 * Stops reservations that match no grant of a job. Stops a running gang if one of its members has failed,
 * stopped or lapsed, or if the worker of a member has not confirmed a renewal within the reservation's
 * time to live. Completes a gang whose members have all finished.
 *
 * @param runtime - The cell's runtime.
 *
 * @example
 * await renewWorkers(runtime);
 */
export async function renewWorkers(runtime: CellRuntime): Promise<void> {
    const orphans = await Promise.all(
        [...runtime.workers.values()].map(worker => renewWorker(runtime, worker)),
    );
    await settleOrphans(runtime, orphans.flat());
    for (const job of runtime.jobs.values()) {
        if (job.stage === JobStage.RUNNING) {
            reconcileGang(runtime, job);
        }
    }
}

const memberStates = new WeakMap<Job, Map<string, ReservationReport["state"]>>();

/** A reservation at a worker that matches no grant of any job in the cell. */
type OrphanedReservation = { readonly worker: WorkerRecord; readonly report: ReservationReport };

/** Renews the reservations of one worker and returns the orphaned ones. */
async function renewWorker(
    runtime: CellRuntime,
    worker: WorkerRecord,
): Promise<readonly OrphanedReservation[]> {
    const settledIds = [...worker.settledReservations];
    const sentAt = runtime.context.clock();
    const renewed = await runtime.context.workerClient.renew(
        worker.address,
        runtime.owner,
        settledIds,
        RESERVATION_TTL_MS,
    );
    if (renewed.isErr()) {
        if (renewed.error.kind === "refused") {
            runtime.fenced ||= renewed.error.reason === "stale-epoch";
            return [];
        }
        updateWorkerHealth(runtime, worker, false);
        return [];
    }
    worker.lastRenewedAt = sentAt;
    worker.settledReservations = worker.settledReservations.filter(id => !settledIds.includes(id));
    const orphans = renewed.value.filter(report => !recordReport(runtime, worker, report));
    const ejected = worker.ejectedUntil > runtime.context.clock();
    updateWorkerHealth(runtime, worker, !ejected && !worker.leaving);
    return orphans.map(report => ({ worker, report }));
}

/**
 * Stops orphaned reservations and adds their usage to their jobs exactly once.
 *
 * Marks them as settled, so that the workers delete them, only after the usage is stored.
 */
async function settleOrphans(runtime: CellRuntime, orphans: readonly OrphanedReservation[]): Promise<void> {
    const results = await Promise.all(orphans.map(orphan => stopOrphan(runtime, orphan)));
    const stoppedOrphans = results.filter(orphan => orphan !== undefined);
    stoppedOrphans.forEach(orphan => addOrphanUsage(runtime, orphan));
    if (stoppedOrphans.length === 0 || (await runtime.commits.commit()).isErr()) {
        return;
    }
    for (const { worker, report } of stoppedOrphans) {
        worker.settledReservations.push(report.id);
    }
}

/** Adds the usage of an orphaned reservation to its job, unless that usage is already counted. */
function addOrphanUsage(runtime: CellRuntime, { worker, report }: OrphanedReservation): void {
    const job = runtime.jobs.get(report.job as JobId);
    const memberKey = `${report.id}@${worker.id}`;
    if (job === undefined) {
        runtime.context.metrics.unaccountedMs.inc(report.heldMs);
        runtime.context.log.warn("A reservation belongs to no job of the cell; its usage is not charged.", {
            job: report.job,
            held: report.heldMs,
        });
        return;
    }
    if (!job.counted.includes(report.id) && !job.counted.includes(memberKey)) {
        job.counted.push(memberKey);
        job.borrowedHeldMs += BigInt(report.heldMs);
    }
}

/** Applies a report to its job; returns false if no job in the cell has the reservation. */
function recordReport(runtime: CellRuntime, worker: WorkerRecord, report: ReservationReport): boolean {
    const job = runtime.jobs.get(report.job as JobId);
    const grant = job?.grants.find(entry => entry.worker === worker.id && entry.reservation === report.id);
    if (job === undefined || grant === undefined) {
        return false;
    }
    const reportedHeldMs = BigInt(report.heldMs);
    grant.heldMs = reportedHeldMs > grant.heldMs ? reportedHeldMs : grant.heldMs;
    const states = memberStates.get(job) ?? new Map<string, ReservationReport["state"]>();
    states.set(`${grant.worker} ${grant.reservation}`, report.state);
    memberStates.set(job, states);
    if (report.state === "finished") {
        recordTaskSuccess(worker);
    }
    return true;
}

/** Stops the reservation and returns it with its final report, or `undefined` if the stop fails. */
async function stopOrphan(
    runtime: CellRuntime,
    { worker, report }: OrphanedReservation,
): Promise<OrphanedReservation | undefined> {
    if (report.state !== "reserved" && report.state !== "running") {
        return { worker, report };
    }
    const stopped = await runtime.context.workerClient.stop(worker.address, runtime.owner, report.id);
    return stopped.isOk() ? { worker, report: stopped.value } : undefined;
}

/**
 * Tells whether every member of a gang has finished according to the workers' last reports.
 *
 * @param job - The job.
 * @returns Whether the job has grants and the members of all of them have finished.
 *
 * @example
 * isGangFinished(job);
 */
export function isGangFinished(job: Job): boolean {
    return job.grants.length > 0 && listMemberStates(job).every(state => state === "finished");
}

function listMemberStates(job: Job): readonly (ReservationReport["state"] | undefined)[] {
    const states = memberStates.get(job);
    return job.grants.map(grant => states?.get(`${grant.worker} ${grant.reservation}`));
}

function reconcileGang(runtime: CellRuntime, job: Job): void {
    const states = listMemberStates(job);
    if (isGangFinished(job)) {
        job.stage = JobStage.STOPPING;
        runtime.tasks.start(() => completeGang(runtime, job));
        return;
    }
    const failedGrants = job.grants.filter((grant, index) => states[index] === "failed");
    const hasLostMember = job.grants.some((grant, index) => {
        const worker = runtime.workers.get(grant.worker as WorkerId);
        const isRenewalOverdue = runtime.context.clock() - (worker?.lastRenewedAt ?? 0) > RESERVATION_TTL_MS;
        return states[index] === "failed" || states[index] === "lapsed" || states[index] === "stopped"
            || isRenewalOverdue;
    });
    if (!hasLostMember) {
        return;
    }
    for (const grant of failedGrants) {
        const worker = runtime.workers.get(grant.worker as WorkerId);
        if (worker !== undefined) {
            recordTaskFailure(runtime, worker, undefined);
        }
    }
    job.failures += failedGrants.length > 0 ? 1 : 0;
    job.stage = JobStage.STOPPING;
    runtime.tasks.start(() => requeueGang(runtime, job, Reason.MEMBER_LOST));
}

/**
 * Releases the accelerators of a gang whose members have all finished, and ends its job as completed.
 *
 * @param runtime - The cell's runtime.
 * @param job - The job.
 *
 * @example
 * await completeGang(runtime, job);
 */
export async function completeGang(runtime: CellRuntime, job: Job): Promise<void> {
    await stopGang(runtime, job);
    endJob(runtime, job, Outcome.COMPLETED, Reason.NONE);
    runtime.wakeScheduler();
    await runtime.commits.commit();
}
