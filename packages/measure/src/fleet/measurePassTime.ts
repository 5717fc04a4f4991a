import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";
import { countRuns } from "./countRuns.js";
import { createOfflineFleet, WORKERS_PER_RACK } from "./createOfflineFleet.js";
import { generateTrace } from "./generateTrace.js";
import type { Workload } from "./Workload.js";

/** Number of passes that are measured. */
const MEASURED_PASSES = 60;

/** Number of passes before those, in which the compiler optimizes them. */
const WARM_UP_PASSES = 40;

/** Number of passes in a row without a start after which the fleet counts as full. */
const FULL_AFTER_PASSES = 5;

/** Time from one measured pass to the next on the logical clock, in milliseconds; no run ends meanwhile. */
const PASS_INTERVAL_MS = 20;

/** Jobs that wait for each worker. */
const WAITING_JOBS_PER_WORKER = 0.9;

/** Durations of passes that place nothing, and the state that they looked at. */
export type PassTime = {
    readonly workers: number;
    readonly waitingJobs: number;
    readonly runs: number;
    readonly medianMs: number;
    readonly worstMs: number;
};

/**
 * Measures passes over a full fleet with a backlog.
 *
 * @param workload - The jobs and workers.
 * @param workerCount - The number of workers.
 * @param runPass - The pass.
 * @returns The durations.
 */
export async function measurePassTime(
    workload: Workload,
    workerCount: number,
    runPass: (scheduler: Scheduler) => void,
): Promise<PassTime> {
    const fleet = await createOfflineFleet({ workload, workerCount, knowsSpeeds: true });
    const { scheduler } = fleet;
    const rackCount = Math.ceil(workerCount / WORKERS_PER_RACK);
    const trace = generateTrace({
        workload,
        seed: 7,
        workerCount,
        rackCount,
        durationMs: 3_600_000,
        load: 1,
    });
    let submitted = 0;
    let passesWithoutStart = 0;
    while (passesWithoutStart < FULL_AFTER_PASSES) {
        while (countWaitingJobs(scheduler) < WAITING_JOBS_PER_WORKER * workerCount) {
            fleet.submit(trace[submitted]!, submitted);
            submitted += 1;
        }
        const runsBefore = countRuns(scheduler);
        runPass(scheduler);
        await fleet.deliverOrders();
        passesWithoutStart = countRuns(scheduler) > runsBefore ? 0 : passesWithoutStart + 1;
    }
    const durations: number[] = [];
    for (let pass = 0; pass < WARM_UP_PASSES + MEASURED_PASSES; pass++) {
        fleet.advanceClock(PASS_INTERVAL_MS);
        const startedAt = performance.now();
        runPass(scheduler);
        durations.push(performance.now() - startedAt);
        await fleet.deliverOrders();
    }
    const measured = durations.slice(WARM_UP_PASSES).sort((left, right) => left - right);
    return {
        workers: workerCount,
        waitingJobs: countWaitingJobs(scheduler),
        runs: countRuns(scheduler),
        medianMs: measured[Math.floor(measured.length / 2)]!,
        worstMs: measured.at(-1)!,
    };
}

function countWaitingJobs({ activeJobs }: Scheduler): number {
    return [...activeJobs].filter(entry => !entry.hasStarted).length;
}
