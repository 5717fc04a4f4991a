import { OWNER_LEASE_TTL_MS } from "../constants.js";
import type { JobEntry } from "../state/JobEntry.js";
import { addDueOccurrences } from "./addDueOccurrences.js";
import { findReadySteps } from "./findReadySteps.js";
import { findSchedulableWorkers } from "./findSchedulableWorkers.js";
import { mayHaveUnknownRuns } from "./mayHaveUnknownRuns.js";
import { orderJobs } from "./orderJobs.js";
import { placeCopies } from "./placeCopies.js";
import type { PlacementPass } from "./placeStep.js";
import { placeStep } from "./placeStep.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Places the waiting tasks that fit, in the order of the jobs' ranks. A step that waits for capacity that is
 * about to become free reserves workers against the steps ranked after it.
 *
 * @param scheduler - The scheduler.
 */
export function runPlacementPass(scheduler: Scheduler): void {
    const configuration = scheduler.configuration();
    if (configuration === undefined || !scheduler.isLoaded || !isOwnershipConfirmed(scheduler)) {
        return;
    }
    for (const entry of scheduler.activeJobs) {
        addDueOccurrences(scheduler, entry);
    }
    const workers = findSchedulableWorkers(scheduler);
    const nonDrainingWorkers = [...scheduler.fleet.values()].filter(worker =>
        worker.isListed && !worker.draining
    );
    const jobs = orderJobs(scheduler, configuration, workers);
    const entitled = new Set(jobs.filter(job => job.schedulingClass === "entitled").map(job => job.entry));
    const pass: PlacementPass = {
        entitled,
        workers,
        nonDrainingWorkers,
        unplacedShapes: new Set(),
        reservedWorkers: new Set(),
        plannedReservations: 0,
        freeStarts: scheduler.orders.countFreeStarts(),
        hasWaitingStarts: scheduler.orders.countWaitingStarts() > 0,
    };
    for (const ranked of jobs) {
        if (pass.freeStarts <= 0) {
            return;
        }
        if (isPlaceable(scheduler, ranked.entry)) {
            findReadySteps(ranked.entry).forEach(step => placeStep(scheduler, pass, ranked, step));
        }
    }
    if (pass.unplacedShapes.size === 0) {
        jobs.forEach(ranked => placeCopies(scheduler, workers, ranked));
    }
}

/** An owner that was suspended may have a successor; it places nothing before its lease is confirmed again. */
function isOwnershipConfirmed({ clock, ownership }: Scheduler): boolean {
    return clock() - ownership.heldAt() <= OWNER_LEASE_TTL_MS;
}

/**
 * Returns whether a job can be placed. Only a job of this term is unknown to every earlier owner. Any other job may
 * have unknown runs until every worker of earlier terms has answered, or until the leases of those that have not
 * answered have ended; that needs the ownership to be held after it, since a successor may have extended them.
 */
function isPlaceable(scheduler: Scheduler, entry: JobEntry): boolean {
    return entry.job.termRevision === scheduler.ownership.revision
        || ![...scheduler.unreconciledWorkers].some(id => mayHaveUnknownRuns(scheduler, id));
}
