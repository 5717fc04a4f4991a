import type { Job, WorkerId } from "@balsamward/schema";
import { Reason } from "@balsamward/schema";
import { CHECKPOINT_GRACE_MS } from "../constants.js";
import type { CellRuntime } from "./CellRuntime.js";
import { requeueGang } from "./requeueGang.js";

/**
 * Checkpoints and stops a gang whose accelerators are reclaimed, and queues its job again.
 *
 * A member that does not finish its checkpoint within the time configured for its kind plus a grace
 * period is stopped without a checkpoint.
 *
 * @param runtime - The cell's runtime.
 * @param job - The job to preempt.
 *
 * @example
 * await preemptGang(runtime, victim);
 */
export async function preemptGang(runtime: CellRuntime, job: Job): Promise<void> {
    const kind = runtime.context.getActiveConfiguration()?.document.kind[job.kind];
    const timeoutMs = (kind?.checkpointMs ?? 0) + CHECKPOINT_GRACE_MS;
    await Promise.all(job.grants.map(async grant => {
        const worker = runtime.workers.get(grant.worker as WorkerId);
        if (worker !== undefined) {
            await runtime.context.workerClient.checkpoint(
                worker.address,
                runtime.owner,
                grant.reservation,
                timeoutMs,
            );
        }
    }));
    await requeueGang(runtime, job, Reason.PREEMPTED);
}
