import type { Scheduler } from "../Scheduler.js";
import { getMachineName } from "./getMachineName.js";

/** Interval at which the relative run times are learned from new evidence, in milliseconds. */
const UPDATE_INTERVAL_MS = 500;

/** Relative run time below which a worker is shown as fast. */
const FAST_LIMIT = 0.8;

/** Relative run time above which a worker is shown as slow. */
const SLOW_LIMIT = 1.25;

/**
 * Keeps the relative run times of the workers up to date during a term.
 *
 * @param scheduler - The scheduler.
 */
export async function updateRelativeRunTimes(scheduler: Scheduler): Promise<void> {
    const { clock, ownership: { signal }, relativeRunTimes } = scheduler;
    while (!signal.aborted) {
        await scheduler.pause(UPDATE_INTERVAL_MS, signal);
        if (relativeRunTimes.refit(clock())) {
            applyRelativeRunTimes(scheduler);
        }
    }
    scheduler.metrics.workersBySpeed.reset();
}

/**
 * Gives each worker the relative run time of its machine.
 *
 * @param scheduler - The scheduler.
 */
export function applyRelativeRunTimes(scheduler: Scheduler): void {
    for (const worker of scheduler.fleet.values()) {
        worker.relativeRunTime = scheduler.relativeRunTimes.get(getMachineName(worker));
    }
    countWorkers(scheduler);
}

function countWorkers({ fleet, metrics }: Scheduler): void {
    const counts = { fast: 0, typical: 0, slow: 0 };
    for (const { relativeRunTime } of fleet.values()) {
        counts[getSpeed(relativeRunTime)] += 1;
    }
    Object.entries(counts).forEach(([speed, count]) => metrics.workersBySpeed.set({ speed }, count));
}

function getSpeed(relativeRunTime: number): "fast" | "typical" | "slow" {
    if (relativeRunTime < FAST_LIMIT) {
        return "fast";
    }
    return relativeRunTime > SLOW_LIMIT ? "slow" : "typical";
}
