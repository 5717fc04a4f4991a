import { JobState, QueueDepthSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import type { OwnerService } from "../cluster/serveCluster.js";
import type { JobId } from "../ids.js";
import { isFinalState } from "../state/isFinalState.js";
import { cancelJob, registerJob } from "./registerJob.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Creates the owner's service, which handles job queries, submissions, cancellations and queue depths.
 *
 * @param scheduler - The scheduler of the term.
 * @returns The service. It reports a job as ended only after the end is stored, or if the job is cancelled.
 */
export function createOwnerService(scheduler: Scheduler): OwnerService {
    return {
        describeJob: id => {
            const entry = scheduler.jobs.get(id as JobId);
            if (entry === undefined) {
                return undefined;
            }
            const isStateVisible = !isFinalState(entry.state) || entry.durableState === entry.state
                || entry.cancelled;
            return { state: isStateVisible ? entry.state : JobState.RUNNING, customer: entry.job.customer };
        },
        addJob: (job, revision) => {
            registerJob(scheduler, job, revision);
        },
        cancelJob: id => cancelJob(scheduler, id as JobId),
        countQueueDepths: () => {
            const pendingJobs = new Map<string, number>();
            for (const entry of scheduler.activeJobs) {
                if (!entry.hasStarted && entry.job.schedule === undefined) {
                    pendingJobs.set(entry.queue, (pendingJobs.get(entry.queue) ?? 0) + 1);
                }
            }
            return [...pendingJobs].map(([queue, jobs]) => create(QueueDepthSchema, { queue, jobs }));
        },
    };
}
