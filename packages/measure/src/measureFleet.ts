import { runPlacementPass } from "@balsamward/scheduler/engine/passes/runPlacementPass";
import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";
import { WORKERS_PER_RACK } from "./fleet/createOfflineFleet.js";
import { generateTrace } from "./fleet/generateTrace.js";
import type { PassTime } from "./fleet/measurePassTime.js";
import { measurePassTime } from "./fleet/measurePassTime.js";
import { placeInArrivalOrder } from "./fleet/placeInArrivalOrder.js";
import type { PlayedJob, PlayedTrace } from "./fleet/playTrace.js";
import { playTrace } from "./fleet/playTrace.js";
import type { JobKind, Workload } from "./fleet/Workload.js";
import { JOB_KINDS } from "./fleet/Workload.js";
import { EVEN_WORKLOAD, UNEVEN_WORKLOADS } from "./fleet/workloads.js";
import type { Report } from "./Report.js";

const FLEET_SIZES: readonly number[] = [33, 245, 380, 1_500];
const UNEVEN_FLEET_SIZE = 245;
const TRACE_WORKERS = 60;
const TRACE_SEEDS: readonly number[] = [1, 2, 3, 4];
const UNEVEN_TRACE_SEEDS: readonly number[] = [1, 2];
const TRACE_DURATION_MS = 40_000;

/** Factors on the usual load: a quiet day, a busy one, and more than the fleet can do. */
const LOADS: readonly number[] = [1, 1.5, 2.5];

/** Size of the fleet with uneven workers, which needs enough racks for a choice between them. */
const UNEVEN_TRACE_WORKERS = 120;

/** Factors on the load of the uneven workloads, whose bursts exceed the fleet at the higher one. */
const UNEVEN_LOADS: readonly number[] = [1, 1.5];

/** Share of a kind's jobs, the ones with the most tasks, that are shown by themselves. */
const WIDEST_SHARE = 0.1;

/** Multiple of its objective within which a job still earns a part of its credit. */
const LATE_FACTOR = 3;

type Policy = {
    readonly name: string;
    readonly runPass: (scheduler: Scheduler) => void;
    readonly knowsSpeeds: boolean;
};

type PlayPolicyOptions = {
    readonly load: number;
    readonly workerCount: number;
    /** Seeds of the traces, which are played one after the other. */
    readonly seeds: readonly number[];
};

const SCHEDULER: Policy = { name: "scheduler", runPass: runPlacementPass, knowsSpeeds: true };

const IGNORING_SPEEDS: Policy = {
    name: "scheduler, speeds ignored",
    runPass: runPlacementPass,
    knowsSpeeds: false,
};

const FIRST_FIT: Policy = {
    name: "arrival order, first fit",
    runPass: placeInArrivalOrder,
    knowsSpeeds: false,
};

/**
 * Measures placement without store, network and real time: how long a pass takes that places nothing, and how fast
 * jobs end with the scheduler's passes, beside arrival order and first fit on equal workers, and beside the same passes
 * without knowledge of speeds on uneven workers.
 *
 * @returns The report.
 */
export async function measureFleet(): Promise<Report> {
    const rows: string[][] = [["pass that places nothing", "waiting jobs", "runs", "median", "worst"]];
    for (const workload of [EVEN_WORKLOAD, ...UNEVEN_WORKLOADS]) {
        for (const size of workload === EVEN_WORKLOAD ? FLEET_SIZES : [UNEVEN_FLEET_SIZE]) {
            rows.push(composePassRow(workload, await measurePassTime(workload, size, runPlacementPass)));
        }
    }
    rows.push([
        "time to the end / run time",
        ...JOB_KINDS.flatMap(kind => [`${kind} median`, "95 %", "widest", "in time", "late"]),
        "not ended",
        "worst customer in time",
        "stopped work",
    ]);
    for (const load of LOADS) {
        for (const policy of [SCHEDULER, FIRST_FIT]) {
            const options = { load, workerCount: TRACE_WORKERS, seeds: TRACE_SEEDS };
            rows.push(await playPolicy(EVEN_WORKLOAD, policy, options));
        }
    }
    for (const workload of UNEVEN_WORKLOADS) {
        for (const load of UNEVEN_LOADS) {
            for (const policy of [SCHEDULER, IGNORING_SPEEDS]) {
                const options = { load, workerCount: UNEVEN_TRACE_WORKERS, seeds: UNEVEN_TRACE_SEEDS };
                rows.push(await playPolicy(workload, policy, options));
            }
        }
    }
    return { name: "fleet", failed: false, rows };
}

async function playPolicy(
    workload: Workload,
    { name, runPass, knowsSpeeds }: Policy,
    { load, workerCount, seeds }: PlayPolicyOptions,
): Promise<string[]> {
    const rackCount = Math.ceil(workerCount / WORKERS_PER_RACK);
    const played: PlayedTrace[] = [];
    for (const seed of seeds) {
        const durationMs = TRACE_DURATION_MS;
        const trace = generateTrace({ workload, seed, workerCount, rackCount, durationMs, load });
        played.push(await playTrace(trace, { workload, workerCount, knowsSpeeds, runPass }));
    }
    return composeRow(`${workload.name}, load ${load}, ${name}`, played);
}

function composePassRow(
    { name }: Workload,
    { workers, waitingJobs, runs, medianMs, worstMs }: PassTime,
): string[] {
    return [
        `${name}, ${workers} workers`,
        String(waitingJobs),
        String(runs),
        `${medianMs.toFixed(2)} ms`,
        `${worstMs.toFixed(2)} ms`,
    ];
}

function composeRow(label: string, played: readonly PlayedTrace[]): string[] {
    const jobs = played.flatMap(trace => trace.jobs);
    const stoppedWork = played.reduce((sum, trace) => sum + trace.stoppedWork, 0);
    return [
        label,
        ...JOB_KINDS.flatMap(kind => formatKind(jobs, kind)),
        String(jobs.filter(job => job.stretch === undefined).length),
        formatShare(findLeastShare(jobs)),
        `${(stoppedWork / 1_000).toFixed(0)} accelerator-s`,
    ];
}

function formatKind(jobs: readonly PlayedJob[], kind: JobKind): readonly string[] {
    const ofKind = jobs.filter(job => job.kind === kind);
    const bySize = [...ofKind].sort((left, right) => right.size - left.size);
    const widest = bySize.slice(0, Math.ceil(bySize.length * WIDEST_SHARE));
    return [
        formatQuantile(ofKind, 0.5),
        formatQuantile(ofKind, 0.95),
        formatQuantile(widest, 0.5),
        formatShare(getShare(ofKind, ({ objectiveShare }) => objectiveShare <= 1)),
        formatShare(
            getShare(ofKind, ({ objectiveShare }) => objectiveShare > 1 && objectiveShare <= LATE_FACTOR),
        ),
    ];
}

/** Returns the share of jobs in time of the customer for whom it is least. */
function findLeastShare(jobs: readonly PlayedJob[]): number {
    const customers = [...new Set(jobs.map(({ customer }) => customer))];
    return Math.min(
        ...customers.map(number =>
            getShare(
                jobs.filter(({ customer }) => customer === number),
                ({ objectiveShare }) => objectiveShare <= 1,
            )
        ),
    );
}

function getShare(jobs: readonly PlayedJob[], isCounted: (job: PlayedJob) => boolean): number {
    return jobs.filter(isCounted).length / jobs.length;
}

function formatShare(share: number): string {
    return `${(100 * share).toFixed(0)} %`;
}

/** Formats a quantile of the jobs' stretches; jobs that did not end count as the longest. */
function formatQuantile(jobs: readonly PlayedJob[], quantile: number): string {
    const sorted = jobs
        .map(job => job.stretch ?? Number.POSITIVE_INFINITY)
        .sort((left, right) => left - right);
    return (sorted[Math.floor((sorted.length - 1) * quantile)] ?? Number.NaN).toFixed(2);
}
