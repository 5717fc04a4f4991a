import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { QueueName } from "../ids.js";
import type { JobEntry } from "../state/JobEntry.js";
import { findEntitledJobs } from "./findEntitledJobs.js";
import type { JobTimes } from "./jobTimes.js";
import { expectTimes, LATE_FACTOR } from "./jobTimes.js";
import type { Scheduler } from "./Scheduler.js";

/** How well a job can still meet its objective. */
export type Prospect = "entitled" | "on-time" | "late" | "too-late";

/** A job with the queue that is configured for it, and its prospect. */
export type RankedJob = {
    readonly entry: JobEntry;
    readonly queue: Queue;
    readonly times: JobTimes;
    readonly prospect: Prospect;
};

/**
 * Orders the jobs for a placement pass: what is guaranteed first and what comes too late anyway last;
 * between them by priority, by prospect, and the least work first.
 *
 * @param scheduler - The scheduler.
 * @param configuration - The configuration in force; a job of another queue waits.
 * @returns The jobs in order.
 */
export function orderJobs(scheduler: Scheduler, configuration: FleetConfiguration): readonly RankedJob[] {
    const queues = new Map<QueueName, Queue>(configuration.queues.map(queue => [queue.name, queue]));
    const entitled = findEntitledJobs(scheduler, configuration, queues);
    const now = scheduler.clock();
    const ranked: RankedJob[] = [];
    for (const entry of scheduler.active) {
        const queue = queues.get(entry.queue);
        if (queue !== undefined) {
            const times = expectTimes(entry, queue, scheduler.runTimes);
            const prospect = entitled.has(entry) ? "entitled" : prospectOf(entry, times, now);
            ranked.push({ entry, queue, times, prospect });
        }
    }
    return ranked.sort(compareRanks);
}

function prospectOf(entry: JobEntry, times: JobTimes, now: number): Prospect {
    const endMs = now - entry.acceptedAt + times.remainingChainMs;
    if (entry.job.schedule !== undefined || endMs <= times.objectiveMs) {
        return "on-time";
    }
    return endMs <= LATE_FACTOR * times.objectiveMs ? "late" : "too-late";
}

const PROSPECT_RANKS: Readonly<Record<Prospect, number>> = {
    entitled: 0,
    "on-time": 1,
    late: 2,
    "too-late": 3,
};

function compareRanks(left: RankedJob, right: RankedJob): number {
    return classOf(left) - classOf(right)
        || left.queue.priority - right.queue.priority
        || PROSPECT_RANKS[left.prospect] - PROSPECT_RANKS[right.prospect]
        || left.times.remainingWork - right.times.remainingWork
        || left.entry.revision - right.entry.revision;
}

/** Guarantees come before everything, and hopeless jobs after everything. */
function classOf({ prospect }: RankedJob): number {
    return prospect === "entitled" ? 0 : prospect === "too-late" ? 2 : 1;
}
