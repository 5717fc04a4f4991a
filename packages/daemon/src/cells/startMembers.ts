import type { Grant, Job, WorkerId } from "@balsamward/schema";
import { JobStage, Reason } from "@balsamward/schema";
import type { CellRuntime } from "./CellRuntime.js";
import { requeueGang } from "./requeueGang.js";
import { recordTaskFailure } from "./workerHealth.js";

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
