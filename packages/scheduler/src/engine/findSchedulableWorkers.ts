import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Finds the workers that may get starts now: those that answer, stay, and are in the stored roster.
 *
 * @param scheduler - The scheduler.
 * @returns The workers, whatever runs on them.
 */
export function findSchedulableWorkers(scheduler: Scheduler): readonly WorkerEntry[] {
    const now = scheduler.clock();
    return [...scheduler.fleet.values()].filter(worker =>
        worker.reached
        && !worker.isSilent
        && worker.listed
        && !worker.draining
        && !worker.isCordoned
        && worker.pausedUntil <= now
        && scheduler.roster.has(worker.id)
    );
}
