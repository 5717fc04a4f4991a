import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { QueueName } from "../ids.js";
import type { JobEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { findEntitledJobs } from "./findEntitledJobs.js";
import { isStarved } from "./isStarved.js";
import type { JobTimes } from "./jobTimes.js";
import { expectTimes, LATE_FACTOR } from "./jobTimes.js";
import { measureRoom } from "./measureRoom.js";
import type { Scheduler } from "./Scheduler.js";

/** How well a job can still meet its objective. */
export type Prospect =
    | "entitled"
    /** It waits although the fleet has ample room. */
    | "starved"
    | "on-time"
    | "late"
    | "too-late";

/** A job with the queue that is configured for it, and its prospect. */
export type RankedJob = {
    readonly entry: JobEntry;
    readonly queue: Queue;
    readonly times: JobTimes;
    readonly prospect: Prospect;
};

/**
 * Orders the jobs for a placement pass: what is guaranteed first, then what is starved, and what comes
 * too late anyway last; between them by priority, by prospect, and the least work first.
 *
 * @param scheduler - The scheduler.
 * @param configuration - The configuration in force; a job of another queue waits.
 * @param workers - Usable workers.
 * @returns The jobs in order.
 */
export function orderJobs(
    scheduler: Scheduler,
    configuration: FleetConfiguration,
    workers: readonly WorkerEntry[],
): readonly RankedJob[] {
    const queues = new Map<QueueName, Queue>(configuration.queues.map(queue => [queue.name, queue]));
    const entitled = findEntitledJobs(scheduler, configuration, queues);
    const rooms = measureRoom(workers);
    const now = scheduler.clock();
    const ranked: RankedJob[] = [];
    for (const entry of scheduler.active) {
        const queue = queues.get(entry.queue);
        if (queue !== undefined) {
            const times = expectTimes(entry, queue, scheduler.runTimes);
            const room = rooms.get(queue.service);
            const prospect = entitled.has(entry)
                ? "entitled"
                : room !== undefined && isStarved(entry, room, now)
                ? "starved"
                : prospectOf(entry, times, now);
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
    starved: 1,
    "on-time": 2,
    late: 3,
    "too-late": 4,
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
    switch (prospect) {
        case "entitled":
            return 0;
        case "starved":
            return 1;
        case "on-time":
        case "late":
            return 2;
        case "too-late":
            return 3;
    }
}
