import { JobState, QueueDepthSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import type { OwnerService } from "../cluster/serveCluster.js";
import type { JobId } from "../ids.js";
import { isFinalState } from "../state/isFinalState.js";
import type { Scheduler } from "./Scheduler.js";
import { cancelJob, takeJob } from "./takeJob.js";

/**
 * Creates what an owner answers about its jobs.
 *
 * @param scheduler - The scheduler of the term.
 * @returns The desk. An end is shown only after it is stored.
 */
export function createOwnerDesk(scheduler: Scheduler): OwnerService {
    return {
        describeJob: id => {
            const entry = scheduler.jobs.get(id as JobId);
            if (entry === undefined) {
                return undefined;
            }
            const isShown = !isFinalState(entry.state) || entry.durableState === entry.state
                || entry.cancelled;
            return { state: isShown ? entry.state : JobState.RUNNING, customer: entry.job.customer };
        },
        addJob: (job, revision) => {
            takeJob(scheduler, job, revision);
        },
        cancelJob: id => cancelJob(scheduler, id as JobId),
        countQueueDepths: () => {
            const counts = new Map<string, number>();
            for (const entry of scheduler.active) {
                if (!entry.hasStarted && entry.job.schedule === undefined) {
                    counts.set(entry.queue, (counts.get(entry.queue) ?? 0) + 1);
                }
            }
            return [...counts].map(([queue, jobs]) => create(QueueDepthSchema, { queue, jobs }));
        },
    };
}
