import { releaseAllocation } from "@balsamward/placement";
import type { Grant, Job, JobId, WorkerId } from "@balsamward/schema";
import { JobStage, Standing } from "@balsamward/schema";
import { RESERVATION_TTL_MS, WORKER_RENEWAL_INTERVAL_MS } from "../constants.js";
import type { CellRuntime } from "./CellRuntime.js";

/**
 * Stops every member of a gang and adds its usage to the job.
 *
 * Resolves once no member holds accelerators: its worker has answered the stop or is no longer
 * listed, or its reservation has certainly lapsed since the last renewal. Also resolves if the owner is fenced.
 *
 * @param runtime - The cell's runtime.
 * @param job - The job; its grants are empty afterwards.
 *
 * @example
 * await stopGang(runtime, job);
 */
export async function stopGang(runtime: CellRuntime, job: Job): Promise<void> {
    job.stage = JobStage.STOPPING;
    await Promise.all(job.grants.map(grant => stopMember(runtime, grant)));
    const heldMs = job.grants.reduce((sum, grant) => sum + grant.heldMs, 0n);
    if (job.standing === Standing.GUARANTEED) {
        job.guaranteedHeldMs += heldMs;
    }
    else {
        job.borrowedHeldMs += heldMs;
    }
    job.counted.push(...new Set(job.grants.map(grant => grant.reservation)));
    job.grants = [];
    job.slot = [];
    runtime.preemptedJobs.delete(job.id as JobId);
    releaseAllocation(runtime.cell, job.id as JobId);
}

async function stopMember(runtime: CellRuntime, grant: Grant): Promise<void> {
    const lapsesAt = (record: { lastRenewedAt: number } | undefined) =>
        (record?.lastRenewedAt ?? 0) + RESERVATION_TTL_MS + WORKER_RENEWAL_INTERVAL_MS;
    const deadline = runtime.context.clock() + RESERVATION_TTL_MS + WORKER_RENEWAL_INTERVAL_MS;
    while (!runtime.fenced) {
        const worker = runtime.workers.get(grant.worker as WorkerId);
        if (worker === undefined) {
            return;
        }
        const stopped = await runtime.context.workerClient.stop(
            worker.address,
            runtime.owner,
            grant.reservation,
        );
        if (stopped.isOk()) {
            grant.heldMs = maxOf(grant.heldMs, BigInt(stopped.value.heldMs));
            return;
        }
        if (stopped.error.kind === "refused") {
            runtime.fenced ||= stopped.error.reason === "stale-epoch";
            return;
        }
        if (runtime.context.clock() > Math.min(deadline, lapsesAt(worker))) {
            return;
        }
        await runtime.context.pause(WORKER_RENEWAL_INTERVAL_MS / 2);
    }
}

function maxOf(left: bigint, right: bigint): bigint {
    return left > right ? left : right;
}
