import type { Assignment } from "../placement/countFittingTasks.js";
import { placeGang } from "../placement/placeGang.js";
import { placeTasks } from "../placement/placeTasks.js";
import type { JobEntry, StepEntry, TaskEntry } from "../state/JobEntry.js";
import { listWaitingTasks } from "../state/listWaitingTasks.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { createShapeKey } from "./createShapeKey.js";
import { findWorkersToReserve } from "./findWorkersToReserve.js";
import { isEligible } from "./isEligible.js";
import type { RankedJob } from "./orderJobs.js";
import { preemptForStep } from "./preemptForStep.js";
import type { Scheduler } from "./Scheduler.js";
import { startRuns } from "./startRuns.js";
import { filterAllowedWorkers, requestAdvice } from "./stepAdvice.js";

/** Number of gangs on time for which a pass plans reservations. */
const MAX_PLANNED_RESERVATIONS = 4;

/** State of a placement pass. */
export type PlacementPass = {
    /** Jobs covered by their customers' guarantees. */
    readonly entitled: ReadonlySet<JobEntry>;
    /** Workers on which runs may be started now. */
    readonly workers: readonly WorkerEntry[];
    /** Workers on which runs may be started now or later. */
    readonly nonDrainingWorkers: readonly WorkerEntry[];
    /** Shapes of steps that did not fit completely. */
    readonly unplacedShapes: Set<string>;
    /** Workers that are kept free for a waiting step. */
    readonly reservedWorkers: Set<WorkerEntry>;
    /** Number of gangs on time for which the pass has planned a reservation. */
    plannedReservations: number;
    /** Number of starts that can still be ordered without a long wait. */
    freeStarts: number;
    /** Whether a start that was ordered before waits to be sent. */
    hasWaitingStarts: boolean;
};

/**
 * Places as many waiting tasks of a step as fit. A guaranteed step that does not fit preempts other runs. A
 * starved step, and a gang that is on time, reserve workers that soon have enough free capacity.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass, in which unplaced shapes and reserved workers are recorded.
 * @param ranked - The step's job.
 * @param step - The step, whose preceding steps are done.
 */
export function placeStep(
    scheduler: Scheduler,
    pass: PlacementPass,
    ranked: RankedJob,
    step: StepEntry,
): void {
    step.readyAt ??= scheduler.clock();
    const shape = createShapeKey(ranked.queue, step);
    if (pass.unplacedShapes.has(shape) && !mayReserveWorkers(pass, ranked, step)) {
        return;
    }
    const waiting = listWaitingTasks(step);
    const startable = limitToFreeStarts(pass, step, waiting);
    if (startable.length === 0) {
        pass.freeStarts = 0;
        return;
    }
    const eligible = pass.workers.filter(worker => isEligible(worker, ranked.queue, step));
    const { advice } = ranked.queue;
    const workers = filterAllowedWorkers(advice, step, eligible, scheduler.clock())
        .filter(worker => !pass.reservedWorkers.has(worker));
    const nonDraining = pass.nonDrainingWorkers.filter(worker => isEligible(worker, ranked.queue, step));
    const assignments = pass.unplacedShapes.has(shape)
        ? []
        : assignTasks(step, startable, workers, nonDraining);
    startRuns(scheduler, step, assignments);
    pass.freeStarts -= assignments.length;
    pass.hasWaitingStarts ||= assignments.length > 0;
    if (assignments.length === startable.length) {
        step.isReservingWorkers = false;
        return;
    }
    pass.unplacedShapes.add(shape);
    if (advice !== undefined) {
        requestAdvice(scheduler, advice, step, eligible);
    }
    if (mayReserveWorkers(pass, ranked, step) && (!step.spec.gang || waiting.length === step.tasks.length)) {
        pass.plannedReservations += ranked.schedulingClass === "on-time" ? 1 : 0;
        const taskCount = waiting.length - assignments.length;
        const reserved = chooseReservedWorkers(scheduler, pass, ranked, { step, workers, taskCount });
        reserved.forEach(worker => pass.reservedWorkers.add(worker));
        recordReservation(scheduler, ranked, step, reserved);
    }
}

/**
 * Returns the waiting tasks whose starts can be ordered now. The members of a gang are ordered together or not yet; one
 * with more members than starts are ever free is ordered when no other start waits.
 */
function limitToFreeStarts(
    { freeStarts, hasWaitingStarts }: PlacementPass,
    step: StepEntry,
    waiting: readonly TaskEntry[],
): readonly TaskEntry[] {
    if (!step.spec.gang) {
        return waiting.slice(0, freeStarts);
    }
    return waiting.length <= freeStarts || !hasWaitingStarts ? waiting : [];
}

/** Logs a reservation once per wait, although its workers may change from pass to pass. */
function recordReservation(
    scheduler: Scheduler,
    { schedulingClass }: RankedJob,
    step: StepEntry,
    reserved: readonly WorkerEntry[],
): void {
    if (reserved.length > 0 && !step.isReservingWorkers) {
        scheduler.log.info("Workers are kept free for a step.", {
            job: step.job.id,
            step: step.number,
            occurrence: step.occurrence,
            prospect: schedulingClass,
            workers: reserved.length,
        });
    }
    step.isReservingWorkers = reserved.length > 0;
}

/** Tasks of a step that did not fit, with the workers that may run them. */
type UnplacedTasks = {
    readonly step: StepEntry;
    readonly workers: readonly WorkerEntry[];
    readonly taskCount: number;
};

function chooseReservedWorkers(
    scheduler: Scheduler,
    { entitled }: PlacementPass,
    ranked: RankedJob,
    { step, workers, taskCount }: UnplacedTasks,
): readonly WorkerEntry[] {
    switch (ranked.schedulingClass) {
        case "entitled":
            return preemptForStep(scheduler, step, { workers, taskCount, entitled });
        case "starved":
            return findWorkersToReserve(scheduler, ranked, step, workers);
        case "on-time":
            return findWorkersToReserve(scheduler, ranked, step, workers);
        case "late":
        case "too-late":
            return [];
    }
}

/**
 * Returns whether workers may be kept free for a step. A job that will miss its objective reserves none, and of the
 * gangs that are on time only the first of a pass do: a plan looks at every run.
 */
function mayReserveWorkers(
    { plannedReservations }: PlacementPass,
    { schedulingClass }: RankedJob,
    { spec }: StepEntry,
): boolean {
    switch (schedulingClass) {
        case "entitled":
        case "starved":
            return true;
        case "on-time":
            return spec.gang && plannedReservations < MAX_PLANNED_RESERVATIONS;
        case "late":
        case "too-late":
            return false;
    }
}

function assignTasks(
    step: StepEntry,
    waiting: readonly TaskEntry[],
    workers: readonly WorkerEntry[],
    nonDraining: readonly WorkerEntry[],
): readonly Assignment[] {
    if (!step.spec.gang) {
        return placeTasks(step, waiting, workers);
    }
    return waiting.length === step.tasks.length ? placeGang(step, workers, nonDraining) ?? [] : [];
}
