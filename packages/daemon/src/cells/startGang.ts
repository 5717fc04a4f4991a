import type { Job, WorkerId } from "@balsamward/schema";
import { JobStage, Reason } from "@balsamward/schema";
import { RESERVATION_TTL_MS } from "../constants.js";
import type { CellRuntime } from "./CellRuntime.js";
import { preemptGang } from "./preemptGang.js";
import { requeueGang } from "./requeueGang.js";
import { startMembers } from "./startMembers.js";
import { recordTaskFailure } from "./workerHealth.js";

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
