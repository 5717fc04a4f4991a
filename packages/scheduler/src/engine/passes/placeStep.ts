import type { Assignment } from "../../placement/countFittingTasks.js";
import { getPlacementScope } from "../../placement/getPlacementScope.js";
import type { StepEntry } from "../../state/JobEntry.js";
import { listWaitingTasks } from "../../state/listWaitingTasks.js";
import { isHeld } from "../crashes/crashHolds.js";
import { isolateWorker } from "../crashes/isIsolated.js";
import { isSuspected } from "../crashes/suspicion.js";
import { startRuns } from "../runs/startRuns.js";
import type { Scheduler } from "../Scheduler.js";
import { waitsForEmptyWorker } from "./assignSuspects.js";
import type { StepToPlace } from "./chooseAssignments.js";
import {
    chooseAssignments,
    hasWaitedLong,
    listPausedWorkers,
    listUsableWorkers,
} from "./chooseAssignments.js";
import type { RankedJob } from "./orderJobs.js";
import type { PlacementPass } from "./PlacementPass.js";
import { mayReserveWorkers, reserveWorkers } from "./reserveWorkers.js";
import { requestAdvice } from "./stepAdvice.js";

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
    const { advice, service } = ranked.terms;
    const group = pass.groups.get(service, step.spec.requiredLabel);
    const scope = getPlacementScope(group, step.spec);
    const hasNoRoom = advice === undefined && pass.unplacedSteps.covers(group.key, step.spec, scope);
    if (
        hasNoRoom && !mayReserveWorkers(pass, ranked, step)
        && !hasWaitedLong(scheduler, pass, { ranked, step, group })
    ) {
        pass.hasUnplacedSteps = true;
        return;
    }
    const waiting = listWaitingTasks(step).filter(task => !isHeld(scheduler, task));
    if (step.spec.gang && waiting.length < step.tasks.length) {
        // The members of an earlier run have not all ended.
        pass.hasUnplacedSteps = true;
        return;
    }
    const target = { ranked, step, waiting, group, scope, hasNoRoom };
    const fitting = chooseAssignments(scheduler, pass, target);
    const assignments = limitToFreeStarts(pass, step, fitting);
    startAssignments(scheduler, pass, step, assignments);
    if (assignments.length < fitting.length) {
        pass.freeStarts = 0;
        pass.awaitedStarts = step.spec.gang ? fitting.length : 1;
    }
    else if (assignments.length === waiting.length) {
        step.reservation = undefined;
    }
    else {
        handleUnplacedTasks(scheduler, pass, target, waiting.length - assignments.length);
    }
}

function startAssignments(
    scheduler: Scheduler,
    pass: PlacementPass,
    step: StepEntry,
    assignments: readonly Assignment[],
): void {
    const suspected = assignments.filter(({ task }) => isSuspected(task));
    suspected.forEach(({ task, worker }) => isolateWorker(worker, task, scheduler.clock()));
    startRuns(scheduler, step, assignments);
    suspected.forEach(({ worker }) => pass.reservedWorkers.add(worker));
    pass.freeStarts -= assignments.length;
    pass.hasWaitingStarts ||= assignments.length > 0;
}

/** Requests advice or records that there is no room, and keeps workers free for the tasks that did not fit. */
function handleUnplacedTasks(
    scheduler: Scheduler,
    pass: PlacementPass,
    target: StepToPlace,
    taskCount: number,
): void {
    const { ranked, step, waiting, group, scope } = target;
    const { advice } = ranked.terms;
    pass.hasUnplacedSteps = true;
    if (advice !== undefined) {
        const pausedWorkers = hasWaitedLong(scheduler, pass, target) ? listPausedWorkers(pass, group) : [];
        requestAdvice(scheduler, advice, step, [...group.workers, ...pausedWorkers]);
    }
    if (waiting.some(task => waitsForEmptyWorker(task, scheduler.clock()))) {
        return;
    }
    if (advice === undefined && step.spec.maxPerWorker === 0 && !waiting.some(isSuspected)) {
        pass.unplacedSteps.add(group.key, step.spec, scope);
    }
    if (mayReserveWorkers(pass, ranked, step)) {
        const listWorkers = () => listUsableWorkers(scheduler, pass, target, group.workers);
        reserveWorkers(scheduler, pass, ranked, { step, listWorkers, taskCount });
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
