import type { QueueTerms } from "../../FleetConfiguration.js";
import type { JobEntry, StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { TermsFinder } from "../jobs/createTermsFinder.js";
import type { Scheduler } from "../Scheduler.js";
import type { JobTimes } from "./estimateJobTimes.js";
import { estimateJobTimes, LATE_FACTOR } from "./estimateJobTimes.js";
import { findReadySteps } from "./findReadySteps.js";
import { isolateJob } from "./isolateJob.js";
import { isStarved } from "./isStarved.js";
import { measureCapacity } from "./measureCapacity.js";

/** Class of a job in a placement pass, by its guarantee, its wait and how well it can still meet its objective. */
export type SchedulingClass =
    | "entitled"
    /** The job waits although its service has ample free capacity, because that is fragmented. */
    | "starved"
    | "on-time"
    | "late"
    | "too-late";

/** A job with steps to place, the terms that apply to it, its estimated times and its scheduling class. */
export type RankedJob = {
    readonly entry: JobEntry;
    readonly terms: QueueTerms;
    /** Steps that have waiting tasks and whose preceding steps are done. */
    readonly readySteps: readonly StepEntry[];
    readonly times: JobTimes;
    readonly schedulingClass: SchedulingClass;
    /**
     * Monotonic time since which workers have been kept free for the guaranteed job, in milliseconds; infinity if none
     * are.
     */
    readonly reclaimedAt: number;
};

/** Options of `orderJobs`. */
export type OrderJobsOptions = {
    /** Finds the terms that apply to a job; one without terms is left out. */
    readonly findTerms: TermsFinder;
    /** Jobs covered by their customers' guarantees. */
    readonly entitled: ReadonlySet<JobEntry>;
    /** Schedulable workers. */
    readonly workers: readonly WorkerEntry[];
};

/**
 * Orders the jobs for a placement pass. Guaranteed jobs come first, then starved ones, and jobs that are far
 * too late for their objective come last; within each of these tiers the order is by queue priority,
 * scheduling class, remaining work (least first) and age. Guaranteed jobs for which other runs have been stopped come
 * first, the earliest before the others, since any other job would take the room and cause further stops.
 *
 * @param scheduler - The scheduler.
 * @param options - The terms, guaranteed jobs and workers of the pass.
 * @returns The jobs that have steps to place, highest rank first.
 */
export function orderJobs(
    scheduler: Scheduler,
    { findTerms, entitled, workers }: OrderJobsOptions,
): readonly RankedJob[] {
    const capacities = measureCapacity(workers);
    const now = scheduler.clock();
    const ranked: RankedJob[] = [];
    for (const entry of scheduler.activeJobs) {
        isolateJob(scheduler, entry, () => {
            const { terms } = findTerms(entry);
            const readySteps = terms === undefined ? [] : findReadySteps(scheduler, entry);
            if (terms !== undefined && readySteps.length > 0) {
                const times = estimateJobTimes(entry, terms, scheduler.runTimePredictor);
                const capacity = capacities.get(terms.service);
                const schedulingClass = entitled.has(entry)
                    ? "entitled"
                    : capacity !== undefined && isStarved(entry, readySteps, capacity, now)
                    ? "starved"
                    : classifyByObjective(entry, times, now);
                const reclaimedAt = schedulingClass === "entitled"
                    ? Math.min(...readySteps.map(getReservationTime))
                    : Number.POSITIVE_INFINITY;
                ranked.push({ entry, terms, readySteps, times, schedulingClass, reclaimedAt });
            }
        });
    }
    return ranked.sort(compareRanks);
}

function getReservationTime({ reservation }: StepEntry): number {
    return reservation === undefined || reservation.workers.length === 0
        ? Number.POSITIVE_INFINITY
        : reservation.plannedAt;
}

function classifyByObjective(entry: JobEntry, times: JobTimes, now: number): SchedulingClass {
    const expectedDurationMs = now - entry.acceptedAt + times.remainingCriticalPathMs;
    if (entry.job.schedule !== undefined || expectedDurationMs <= times.objectiveMs) {
        return "on-time";
    }
    return expectedDurationMs <= LATE_FACTOR * times.objectiveMs ? "late" : "too-late";
}

const CLASS_RANKS: Readonly<Record<SchedulingClass, number>> = {
    entitled: 0,
    starved: 1,
    "on-time": 2,
    late: 3,
    "too-late": 4,
};

function compareRanks(left: RankedJob, right: RankedJob): number {
    return getTier(left) - getTier(right)
        || compareTimes(left.reclaimedAt, right.reclaimedAt)
        || left.terms.priority - right.terms.priority
        || CLASS_RANKS[left.schedulingClass] - CLASS_RANKS[right.schedulingClass]
        || left.times.remainingWorkCoreMs - right.times.remainingWorkCoreMs
        || left.entry.revision - right.entry.revision;
}

/** Compares two times, of which both may be infinite. */
function compareTimes(left: number, right: number): number {
    return left === right ? 0 : left - right;
}

/** Returns the tier of a job; a lower tier is placed first, whatever its priority. */
function getTier({ schedulingClass }: RankedJob): number {
    switch (schedulingClass) {
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
