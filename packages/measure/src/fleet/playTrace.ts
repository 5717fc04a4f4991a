import type { JobId } from "@balsamward/scheduler";
import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";
import { listSteps } from "@balsamward/scheduler/state/listSteps";
import { countRuns } from "./countRuns.js";
import { createOfflineFleet } from "./createOfflineFleet.js";
import type { TraceJob } from "./generateTrace.js";
import type { JobKind, Workload } from "./Workload.js";

/** Time after the last arrival for which jobs are still awaited, in milliseconds. */
const DRAIN_MS = 60_000;

/** Minimum time between two passes on the logical clock, in milliseconds. */
const PASS_INTERVAL_MS = 20;

/** Largest number of passes at one time; each may order as many starts as the order queue accepts. */
const MAX_PASSES_AT_ONCE = 64;

/** What became of a job of a trace. */
export type PlayedJob = {
    readonly kind: JobKind;
    /** Number of its customer, from 0. */
    readonly customer: number;
    /** Number of its tasks. */
    readonly size: number;
    /** Time from its arrival to its end, divided by its longest run time; `undefined` if it did not end. */
    readonly stretch: number | undefined;
    /** Time from its arrival to its end, divided by its objective; infinity if it did not end. */
    readonly objectiveShare: number;
};

/** Result of `playTrace`. */
export type PlayedTrace = {
    readonly jobs: readonly PlayedJob[];
    /** Work of the runs that were stopped, in accelerator-milliseconds. */
    readonly stoppedWork: number;
};

/** Options of `playTrace`. */
export type PlayTraceOptions = {
    readonly workload: Workload;
    readonly workerCount: number;
    /** Whether the scheduler knows the relative run times of the workers. */
    readonly knowsSpeeds: boolean;
    /** Places waiting tasks; called repeatedly while it orders starts. */
    readonly runPass: (scheduler: Scheduler) => void;
};

/**
 * Plays a trace on an offline fleet and a logical clock.
 *
 * @param trace - The jobs, ordered by arrival.
 * @param options - The size of the fleet, and the pass to play.
 * @returns What became of each job.
 */
export async function playTrace(
    trace: readonly TraceJob[],
    { workload, workerCount, knowsSpeeds, runPass }: PlayTraceOptions,
): Promise<PlayedTrace> {
    const fleet = await createOfflineFleet({ workload, workerCount, knowsSpeeds });
    const { scheduler } = fleet;
    const ids: JobId[] = [];
    const endTimes = new Map<JobId, number>();
    const lastTime = (trace.at(-1)?.arrivalMs ?? 0) + DRAIN_MS;
    let time = 0;
    while (time <= lastTime && (ids.length < trace.length || scheduler.activeJobs.size > 0)) {
        const nextArrival = trace[ids.length]?.arrivalMs ?? Number.POSITIVE_INFINITY;
        time = Math.max(time + PASS_INTERVAL_MS, Math.min(nextArrival, fleet.findNextEnd()));
        fleet.advanceTo(time);
        while (ids.length < trace.length && trace[ids.length]!.arrivalMs <= time) {
            ids.push(fleet.submit(trace[ids.length]!, ids.length));
        }
        await runPasses(scheduler, runPass, fleet.deliverOrders);
        recordEnds(scheduler, endTimes, time);
    }
    return {
        jobs: trace.map((job, index) => evaluateJob(workload, job, endTimes.get(ids[index]!))),
        stoppedWork: fleet.sumStoppedWork(),
    };
}

/** Repeats passes until one places nothing, since each orders only as many starts as can be sent. */
async function runPasses(
    scheduler: Scheduler,
    runPass: PlayTraceOptions["runPass"],
    deliverOrders: () => Promise<void>,
): Promise<void> {
    for (let pass = 0; pass < MAX_PASSES_AT_ONCE; pass++) {
        const runsBefore = countRuns(scheduler);
        runPass(scheduler);
        const hasPlaced = countRuns(scheduler) > runsBefore;
        await deliverOrders();
        if (!hasPlaced) {
            return;
        }
    }
}

/** Records the ends of jobs, and forgets the jobs without runs, as an owner does after a while. */
function recordEnds(scheduler: Scheduler, endTimes: Map<JobId, number>, time: number): void {
    for (const [id, entry] of scheduler.jobs) {
        if (scheduler.activeJobs.has(entry)) {
            continue;
        }
        if (!endTimes.has(id)) {
            endTimes.set(id, time);
        }
        if (listSteps(entry).every(({ tasks }) => tasks.every(({ runs }) => runs.length === 0))) {
            scheduler.jobs.delete(id);
        }
    }
}

function evaluateJob(
    { shapes }: Workload,
    { kind, customer, arrivalMs, steps }: TraceJob,
    endTime: number | undefined,
): PlayedJob {
    const chainMs = steps.reduce((sum, { runMs }) => sum + runMs, 0);
    const { stretch, objectiveMs } = shapes[kind];
    const durationMs = (endTime ?? Number.POSITIVE_INFINITY) - arrivalMs;
    return {
        kind,
        customer,
        size: steps.reduce((sum, { spec }) => sum + spec.taskCount, 0),
        stretch: endTime === undefined ? undefined : durationMs / chainMs,
        objectiveShare: durationMs / (stretch * chainMs + objectiveMs),
    };
}
