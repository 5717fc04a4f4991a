import type { JobEntry } from "../state/JobEntry.js";
import { beginDueOccurrences } from "./beginDueOccurrences.js";
import { findOpenSteps } from "./findOpenSteps.js";
import { findUsableWorkers } from "./findUsableWorkers.js";
import { orderJobs } from "./orderJobs.js";
import { placeCopies } from "./placeCopies.js";
import type { Pass } from "./placeStep.js";
import { placeStep } from "./placeStep.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Places what waits and fits, in the order of the jobs' ranks. Steps that wait for room that is being
 * freed hold workers against those that come after them.
 *
 * @param scheduler - The scheduler.
 */
export function planPass(scheduler: Scheduler): void {
    const configuration = scheduler.configuration();
    if (configuration === undefined || !scheduler.loaded) {
        return;
    }
    for (const entry of scheduler.active) {
        beginDueOccurrences(scheduler, entry);
    }
    const workers = findUsableWorkers(scheduler);
    const fleet = [...scheduler.fleet.values()].filter(worker => worker.isListed && !worker.draining);
    const jobs = orderJobs(scheduler, configuration, workers);
    const entitled = new Set(jobs.filter(job => job.prospect === "entitled").map(job => job.entry));
    const pass: Pass = { entitled, workers, fleet, full: new Set(), held: new Set() };
    for (const ranked of jobs) {
        if (isPlaceable(scheduler, ranked.entry)) {
            findOpenSteps(ranked.entry).forEach(step => placeStep(scheduler, pass, ranked, step));
        }
    }
    if (pass.full.size === 0) {
        jobs.forEach(ranked => placeCopies(scheduler, workers, ranked));
    }
}

/** Until every worker of earlier terms has answered, an older job may have runs that are not known. */
function isPlaceable(scheduler: Scheduler, entry: JobEntry): boolean {
    return scheduler.unreconciled.size === 0
        || entry.revision > scheduler.ownership.revision
        || scheduler.clock() >= scheduler.unknownRunsEndAt;
}
