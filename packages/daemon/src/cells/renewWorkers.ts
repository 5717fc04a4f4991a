import type { Job, JobId, WorkerId } from "@balsamward/schema";
import { JobStage, Outcome, Reason } from "@balsamward/schema";
import { RESERVATION_TTL_MS } from "../constants.js";
import type { ReservationReport } from "../fleet/WorkerClient.js";
import type { CellRuntime, WorkerRecord } from "./CellRuntime.js";
import { endJob, requeueGang } from "./startGang.js";
import { stopGang } from "./stopGang.js";
import { recordTaskFailure, recordTaskSuccess, updateWorkerHealth } from "./workerHealth.js";

/**
 * Renews the reservations at every worker of a cell and acts on what the workers report.
 *
 * A reservation that the runtime does not know is stopped. A member that has ended although the gang
 * has not, or whose worker has not answered for the time to live, stops the whole gang.
 *
 * @param runtime - The runtime of the cell.
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

/** A reservation at a worker that no grant of the book stands for. */
type OrphanedReservation = { readonly worker: WorkerRecord; readonly report: ReservationReport };

/** Renews one worker and returns the reservations that the book does not know. */
async function renewWorker(
    runtime: CellRuntime,
    worker: WorkerRecord,
): Promise<readonly OrphanedReservation[]> {
    const settledIds = [...worker.settledReservations];
    const sentAt = runtime.context.clock();
    const renewed = await runtime.context.workers.renew(
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
 * Stops reservations that no grant stands for, counts their usage once, makes that durable, and only
 * then lets the workers forget them.
 */
async function settleOrphans(runtime: CellRuntime, orphans: readonly OrphanedReservation[]): Promise<void> {
    const results = await Promise.all(orphans.map(orphan => stopOrphan(runtime, orphan)));
    const stoppedOrphans = results.filter(orphan => orphan !== undefined);
    stoppedOrphans.forEach(orphan => accountOrphan(runtime, orphan));
    if (stoppedOrphans.length === 0 || (await runtime.commits.commit()).isErr()) {
        return;
    }
    for (const { worker, report } of stoppedOrphans) {
        worker.settledReservations.push(report.id);
    }
}

/** Adds the usage of a reservation to its job, unless it is counted already. */
function accountOrphan(runtime: CellRuntime, { worker, report }: OrphanedReservation): void {
    const job = runtime.jobs.get(report.job as JobId);
    const memberKey = `${report.id}@${worker.id}`;
    if (job === undefined) {
        runtime.context.metrics.unaccounted.inc(report.heldMs);
        runtime.context.log.warn("A reservation belongs to no job of the cell.", {
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

/** Enters a report into its job; false if no job of the book has the reservation. */
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

/** Returns the reservation with its final report, or `undefined` if its worker does not answer. */
async function stopOrphan(
    runtime: CellRuntime,
    { worker, report }: OrphanedReservation,
): Promise<OrphanedReservation | undefined> {
    if (report.state !== "reserved" && report.state !== "running") {
        return { worker, report };
    }
    const stopped = await runtime.context.workers.stop(worker.address, runtime.owner, report.id);
    return stopped.isOk() ? { worker, report: stopped.value } : undefined;
}

/**
 * Tells whether every member of a gang has finished, by the workers' last reports.
 *
 * @param job - The job.
 * @returns Whether it holds something and all of it has finished.
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
        const lapsed = runtime.context.clock() - (worker?.lastRenewedAt ?? 0) > RESERVATION_TTL_MS;
        return states[index] === "failed" || states[index] === "lapsed" || states[index] === "stopped"
            || lapsed;
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
 * Ends a job whose members have all finished.
 *
 * @param runtime - The runtime of the cell.
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
