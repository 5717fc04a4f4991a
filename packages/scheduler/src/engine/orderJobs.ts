import type { Queue } from "../FleetConfiguration.js";
import type { QueueName } from "../ids.js";
import type { JobEntry } from "../state/JobEntry.js";
import type { Scheduler } from "./Scheduler.js";

/** A job with the queue that is configured for it. */
export type QueuedJob = { readonly entry: JobEntry; readonly queue: Queue };

/**
 * Orders the jobs for a placement pass: by priority, then the one with the least work left, then the
 * oldest.
 *
 * @param scheduler - The scheduler.
 * @param queues - Configured queues; a job of another one waits.
 * @returns The jobs with their queues.
 */
export function orderJobs(
    scheduler: Scheduler,
    queues: ReadonlyMap<QueueName, Queue>,
): readonly QueuedJob[] {
    return [...scheduler.active]
        .flatMap(entry => {
            const queue = queues.get(entry.queue);
            return queue === undefined ? [] : [{ entry, queue, work: remainingWork(entry) }];
        })
        .sort((left, right) =>
            left.queue.priority - right.queue.priority
            || left.work - right.work
            || left.entry.revision - right.entry.revision
        );
}

/** Work left in accelerator- and core-milliseconds, after the estimates. */
function remainingWork(entry: JobEntry): number {
    let work = 0;
    for (const step of [...entry.occurrences.values()].flat()) {
        const { request, estimatedMs } = step.spec;
        const weight = (request?.accelerators ?? 0) * CORES_PER_ACCELERATOR + (request?.cpuMillis ?? 0) / 1_000;
        work += (step.tasks.length - step.doneCount) * estimatedMs * weight;
    }
    return work;
}

/** Cores that an accelerator counts as when work is compared. */
const CORES_PER_ACCELERATOR = 8;
