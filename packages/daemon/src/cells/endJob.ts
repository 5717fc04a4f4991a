import type { Job, Outcome, Reason } from "@balsamward/schema";
import { JobStage, reasonName } from "@balsamward/schema";
import type { CellRuntime } from "./CellRuntime.js";

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
