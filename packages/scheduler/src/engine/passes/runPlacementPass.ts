import { createUnplacedSteps } from "../../placement/createUnplacedSteps.js";
import { createWorkerGroups } from "../../placement/createWorkerGroups.js";
import type { JobEntry } from "../../state/JobEntry.js";
import { isEvacuated } from "../fleet/isEvacuated.js";
import { mayHaveUnknownRuns } from "../fleet/mayHaveUnknownRuns.js";
import { isOwnershipConfirmed } from "../isOwnershipConfirmed.js";
import { createTermsFinder } from "../jobs/createTermsFinder.js";
import { followQueues } from "../jobs/followQueues.js";
import type { Scheduler } from "../Scheduler.js";
import { addDueOccurrences } from "./addDueOccurrences.js";
import { findEntitledJobs } from "./findEntitledJobs.js";
import { findSchedulableWorkers } from "./findSchedulableWorkers.js";
import { isolateJob } from "./isolateJob.js";
import { logLongWaits } from "./logLongWaits.js";
import { measureCapacity } from "./measureCapacity.js";
import type { RankedJob } from "./orderJobs.js";
import { orderJobs } from "./orderJobs.js";
import { placeCopies } from "./placeCopies.js";
import type { PlacementPass } from "./PlacementPass.js";
import { placeStep } from "./placeStep.js";

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
        isolateJob(scheduler, entry, () => addDueOccurrences(scheduler, entry));
    }
    const now = scheduler.clock();
    const schedulable = findSchedulableWorkers(scheduler);
    const workers = schedulable.filter(worker => worker.pausedUntil <= now);
    const nonDrainingWorkers = [...scheduler.fleet.values()].filter(worker =>
        worker.isListed && !worker.draining && !isEvacuated(scheduler, worker)
    );
    const findTerms = createTermsFinder(configuration);
    followQueues(scheduler, findTerms);
    const entitled = findEntitledJobs(scheduler, configuration, findTerms);
    const pass: PlacementPass = {
        entitled,
        capacities: measureCapacity(nonDrainingWorkers),
        groups: createWorkerGroups(workers, nonDrainingWorkers),
        pausedWorkers: new Set(schedulable.filter(worker => worker.pausedUntil > now)),
        unplacedSteps: createUnplacedSteps(),
        hasUnplacedSteps: false,
        reservedWorkers: new Set(),
        guaranteedWorkers: new Set(),
        reservingGangs: 0,
        hasPlanned: false,
        deferredPlan: undefined,
        freeStarts: scheduler.orders.countFreeStarts(),
        awaitedStarts: 0,
        hasWaitingStarts: scheduler.orders.countWaitingStarts() > 0,
    };
    const rankedJobs = orderJobs(scheduler, { findTerms, entitled, workers });
    placeJobs(scheduler, pass, rankedJobs);
    scheduler.orders.awaitFreeStarts(pass.awaitedStarts);
    scheduler.nextPlan = pass.deferredPlan;
    logLongWaits(scheduler, pass, rankedJobs);
    if (!pass.hasUnplacedSteps && pass.freeStarts > 0) {
        for (const entry of scheduler.activeJobs) {
            placeCopies(scheduler, workers, entry, findTerms(entry).terms);
        }
    }
}

function placeJobs(scheduler: Scheduler, pass: PlacementPass, rankedJobs: readonly RankedJob[]): void {
    const canPlaceInheritedJobs = !hasUnknownRuns(scheduler);
    for (const ranked of rankedJobs) {
        if (pass.freeStarts <= 0) {
            pass.awaitedStarts ||= 1;
            return;
        }
        if (canPlaceInheritedJobs || isOfThisTerm(scheduler, ranked.entry)) {
            isolateJob(scheduler, ranked.entry, () => {
                ranked.readySteps.forEach(step => placeStep(scheduler, pass, ranked, step));
            });
        }
    }
}

/** Returns whether a job was accepted in this term, so that it is unknown to every earlier owner. */
function isOfThisTerm({ ownership }: Scheduler, { job }: JobEntry): boolean {
    return job.termRevision === ownership.revision;
}

/**
 * Returns whether jobs of earlier terms may have unknown runs: until every worker of those terms has answered, or until
 * the leases of those that have not answered have ended; that needs the ownership to be held after it, since a
 * successor may have extended them.
 */
function hasUnknownRuns(scheduler: Scheduler): boolean {
    return [...scheduler.unreconciledWorkers.keys()].some(id => mayHaveUnknownRuns(scheduler, id));
}
