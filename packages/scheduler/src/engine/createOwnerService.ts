import type { QueueDepth } from "@balsamward/schema/scheduling";
import { JobState, QueueDepthSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import type { OwnerService } from "../cluster/serveCluster.js";
import { MAX_JOBS_AGE_MS } from "../constants.js";
import type { JobId } from "../ids.js";
import { isFinalState } from "../state/isFinalState.js";
import { cancelJob, registerJob } from "./jobs/registerJob.js";
import type { Scheduler } from "./Scheduler.js";

/** Options of `createOwnerService`. */
export type OwnerServiceOptions = {
    /** Returns whether a daemon may store jobs while this one does not read them; by default, one always may. */
    readonly couldMissJobs?: () => boolean;
};

/**
 * Creates the owner's service, which handles job queries, submissions, cancellations and queue depths.
 *
 * An owner that was paused or cut off counts no depths until it has read the stored jobs again, unless none can have
 * been stored in the meantime.
 *
 * @param scheduler - The scheduler of the term.
 * @param options - Whether the owner could miss jobs.
 * @returns The service. It reports a job as ended only after the end is stored, or if the job is cancelled.
 */
export function createOwnerService(
    scheduler: Scheduler,
    { couldMissJobs = () => true }: OwnerServiceOptions = {},
): OwnerService {
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
            const isCurrent = scheduler.clock() - scheduler.jobsReadAt <= MAX_JOBS_AGE_MS;
            return isCurrent || !couldMissJobs() ? countPendingByQueue(scheduler) : undefined;
        },
    };
}

function countPendingByQueue({ activeJobs }: Scheduler): readonly QueueDepth[] {
    const pendingJobs = new Map<string, number>();
    for (const entry of activeJobs) {
        if (!entry.hasStarted && entry.job.schedule === undefined) {
            pendingJobs.set(entry.queue, (pendingJobs.get(entry.queue) ?? 0) + 1);
        }
    }
    return [...pendingJobs].map(([queue, jobs]) => create(QueueDepthSchema, { queue, jobs }));
}
