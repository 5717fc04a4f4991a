import type { Assignment } from "../../placement/countFittingTasks.js";
import type { PlacementScope } from "../../placement/createUnplacedSteps.js";
import { getPlacementScope } from "../../placement/getPlacementScope.js";
import { placeGang } from "../../placement/placeGang.js";
import { placeTasks } from "../../placement/placeTasks.js";
import type { StepEntry, TaskEntry } from "../../state/JobEntry.js";
import { listWaitingTasks } from "../../state/listWaitingTasks.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { isolateWorker, isSuspected, mayIsolate } from "../crashes/isIsolated.js";
import { startRuns } from "../runs/startRuns.js";
import type { Scheduler } from "../Scheduler.js";
import { assignSuspectedGang, assignSuspects, waitsForEmptyWorker } from "./assignSuspects.js";
import type { RankedJob } from "./orderJobs.js";
import type { PlacementPass } from "./PlacementPass.js";
import { mayReserveWorkers, reserveWorkers } from "./reserveWorkers.js";
import { filterAllowedWorkers, requestAdvice } from "./stepAdvice.js";

/**
 * Places as many waiting tasks of a step as fit. A guaranteed step that does not fit preempts other runs. A
 * starved step, and a gang that is on time, reserve workers that soon have enough free capacity.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass, in which unplaced steps and reserved workers are recorded.
 * @param ranked - The step's job.
 * @param step - The step, whose preceding steps are done.
 */
export function placeStep(
    scheduler: Scheduler,
    pass: PlacementPass,
    ranked: RankedJob,
    step: StepEntry,
): void {
    const { advice, service } = ranked.queue;
    const group = pass.groups.get(service, step.spec.requiredLabel);
    const scope = getPlacementScope(group, step.spec);
    const hasNoRoom = advice === undefined && pass.unplacedSteps.covers(group.key, step.spec, scope);
    if (hasNoRoom && !mayReserveWorkers(pass, ranked, step)) {
        pass.hasUnplacedSteps = true;
        return;
    }
    const waiting = listWaitingTasks(step);
    if (step.spec.gang && waiting.length < step.tasks.length) {
        // The members of an earlier run have not all ended.
        pass.hasUnplacedSteps = true;
        return;
    }
    const listWorkers = (): readonly WorkerEntry[] =>
        filterAllowedWorkers(advice, step, group.workers, scheduler.clock())
            .filter(worker => !pass.reservedWorkers.has(worker));
    const fitting = hasNoRoom ? [] : assignTasks(scheduler, step, waiting, { workers: listWorkers(), scope });
    const assignments = limitToFreeStarts(pass, step, fitting);
    const suspected = assignments.filter(({ task }) => isSuspected(task));
    suspected.forEach(({ task, worker }) => isolateWorker(worker, task, scheduler.clock()));
    startRuns(scheduler, step, assignments);
    suspected.forEach(({ worker }) => pass.reservedWorkers.add(worker));
    pass.freeStarts -= assignments.length;
    pass.hasWaitingStarts ||= assignments.length > 0;
    if (assignments.length < fitting.length) {
        pass.freeStarts = 0;
        return;
    }
    if (assignments.length === waiting.length) {
        step.reservation = undefined;
        return;
    }
    pass.hasUnplacedSteps = true;
    if (advice !== undefined) {
        requestAdvice(scheduler, advice, step, group.workers);
    }
    if (waiting.some(task => waitsForEmptyWorker(task, scheduler.clock()))) {
        return;
    }
    if (advice === undefined && step.spec.maxPerWorker === 0 && !waiting.some(isSuspected)) {
        pass.unplacedSteps.add(group.key, step.spec, scope);
    }
    if (mayReserveWorkers(pass, ranked, step)) {
        const taskCount = waiting.length - assignments.length;
        reserveWorkers(scheduler, pass, ranked, { step, listWorkers, taskCount });
    }
}

function assignTasks(
    scheduler: Scheduler,
    step: StepEntry,
    waiting: readonly TaskEntry[],
    { workers, scope }: { readonly workers: readonly WorkerEntry[]; readonly scope: PlacementScope },
): readonly Assignment[] {
    const now = scheduler.clock();
    const suspects = waiting.filter(isSuspected)
        .filter(task => mayIsolate(scheduler.fleet, now) || !waitsForEmptyWorker(task, now));
    if (step.spec.gang && suspects.length === 0 && waiting.some(isSuspected)) {
        return [];
    }
    switch (scope) {
        case "task": {
            const apart = assignSuspects(step, suspects, workers, now);
            const occupied = new Set(apart.map(({ worker }) => worker));
            const others = waiting.filter(task => !isSuspected(task));
            const remaining = apart.length === 0 ? workers : workers.filter(worker => !occupied.has(worker));
            return [...apart, ...placeTasks(step, others, remaining)];
        }
        case "rack":
        case "fleet":
            return suspects.length > 0
                ? assignSuspectedGang(step, workers, scope === "rack", now)
                : placeGang(step, workers, scope === "rack") ?? [];
    }
}

/**
 * Returns the assignments whose starts can be ordered now. The members of a gang are ordered together or not yet; one
 * with more members than starts are ever free is ordered when no other start waits.
 */
function limitToFreeStarts(
    { freeStarts, hasWaitingStarts }: PlacementPass,
    step: StepEntry,
    assignments: readonly Assignment[],
): readonly Assignment[] {
    if (!step.spec.gang) {
        return assignments.slice(0, freeStarts);
    }
    return assignments.length <= freeStarts || !hasWaitingStarts ? assignments : [];
}
