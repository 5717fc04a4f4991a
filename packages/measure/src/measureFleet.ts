import { runPlacementPass } from "@balsamward/scheduler/engine/passes/runPlacementPass";
import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";
import type { JobKind } from "./fleet/generateTrace.js";
import { generateTrace, JOB_KINDS } from "./fleet/generateTrace.js";
import { measurePassTime } from "./fleet/measurePassTime.js";
import { placeInArrivalOrder } from "./fleet/placeInArrivalOrder.js";
import type { PlayedJob, PlayedTrace } from "./fleet/playTrace.js";
import { playTrace } from "./fleet/playTrace.js";
import type { Report } from "./Report.js";

const FLEET_SIZES: readonly number[] = [33, 245, 380, 1_500];
const TRACE_WORKERS = 60;
const TRACE_SEEDS: readonly number[] = [1, 2, 3, 4];
const TRACE_DURATION_MS = 40_000;

/** Factors on the usual load: a quiet day, a busy one, and more than the fleet can do. */
const LOADS: readonly number[] = [1, 1.5, 2.5];

/** Share of a kind's jobs, the ones with the most tasks, that are shown by themselves. */
const WIDEST_SHARE = 0.1;

type Policy = { readonly name: string; readonly runPass: (scheduler: Scheduler) => void };

const POLICIES: readonly Policy[] = [
    { name: "scheduler", runPass: runPlacementPass },
    { name: "arrival order, first fit", runPass: placeInArrivalOrder },
];

/**
 * Measures placement without store, network and real time: how long a pass takes that places nothing, and how fast
 * jobs end with the scheduler's passes and with arrival order and first fit.
 *
 * @returns The report.
 */
export async function measureFleet(): Promise<Report> {
    const rows: string[][] = [["pass that places nothing", "waiting jobs", "runs", "median", "worst"]];
    for (const size of FLEET_SIZES) {
        const { workers, waitingJobs, runs, medianMs, worstMs } = await measurePassTime(
            size,
            runPlacementPass,
        );
        rows.push([
            `${workers} workers`,
            String(waitingJobs),
            String(runs),
            `${medianMs.toFixed(2)} ms`,
            `${worstMs.toFixed(2)} ms`,
        ]);
    }
    rows.push([
        "time to the end / run time",
        ...JOB_KINDS.flatMap(kind => [`${kind} median`, "95 %", "widest"]),
        "not ended",
        "stopped work",
    ]);
    for (const load of LOADS) {
        for (const { name, runPass } of POLICIES) {
            const traces = TRACE_SEEDS.map(seed =>
                generateTrace({ seed, workerCount: TRACE_WORKERS, durationMs: TRACE_DURATION_MS, load })
            );
            const played: PlayedTrace[] = [];
            for (const trace of traces) {
                played.push(await playTrace(trace, { workerCount: TRACE_WORKERS, runPass }));
            }
            rows.push(composeRow(`load ${load}, ${name}`, played));
        }
    }
    return { name: "fleet", failed: false, rows };
}

function composeRow(label: string, played: readonly PlayedTrace[]): string[] {
    const jobs = played.flatMap(trace => trace.jobs);
    const stoppedWork = played.reduce((sum, trace) => sum + trace.stoppedWork, 0);
    return [
        label,
        ...JOB_KINDS.flatMap(kind => formatKind(jobs, kind)),
        String(jobs.filter(job => job.stretch === undefined).length),
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
    ];
}

/** Formats a quantile of the jobs' stretches; jobs that did not end count as the longest. */
function formatQuantile(jobs: readonly PlayedJob[], quantile: number): string {
    const sorted = jobs
        .map(job => job.stretch ?? Number.POSITIVE_INFINITY)
        .sort((left, right) => left - right);
    return (sorted[Math.floor((sorted.length - 1) * quantile)] ?? Number.NaN).toFixed(2);
}
