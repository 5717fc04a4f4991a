import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";

/**
 * Counts the runs of all workers.
 *
 * @param scheduler - The scheduler.
 * @returns The number of runs that were ordered and have not ended.
 */
export function countRuns({ fleet }: Scheduler): number {
    return [...fleet.values()].reduce((sum, worker) => sum + worker.runs.size, 0);
}
