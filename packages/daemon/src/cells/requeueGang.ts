import type { Job } from "@balsamward/schema";
import { JobStage, Outcome, Reason, reasonName } from "@balsamward/schema";
import { MAX_JOB_FAILURES } from "../constants.js";
import type { CellRuntime } from "./CellRuntime.js";
import { endJob } from "./endJob.js";
import { stopGang } from "./stopGang.js";

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
