import type { PlanReclaimOptions } from "../../placement/planReclaim.js";
import { planReclaim } from "../../placement/planReclaim.js";
import type { Reservation, StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { createEndAwaiter } from "./createEndAwaiter.js";
import { findWorkersToReserve } from "./findWorkersToReserve.js";
import type { RankedJob } from "./orderJobs.js";
import type { PlacementPass } from "./PlacementPass.js";
import { preemptForStep } from "./preemptForStep.js";

/** Number of gangs on time that hold a reservation at the same time. */
const MAX_RESERVING_GANGS = 4;

/** Time after which a reservation is planned again, in milliseconds. */
const REPLANNING_INTERVAL_MS = 100;

/** Tasks of a step that did not fit, with the workers that may run them. */
export type UnplacedTasks = {
    readonly step: StepEntry;
    readonly listWorkers: () => readonly WorkerEntry[];
    readonly taskCount: number;
};

/**
 * Keeps workers free for a step that did not fit, and preempts runs for a guaranteed one.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass, in which the reserved workers are recorded.
 * @param ranked - The step's job, for which `mayReserveWorkers` is true.
 * @param unplaced - The tasks that did not fit.
 */
export function reserveWorkers(
    scheduler: Scheduler,
    pass: PlacementPass,
    ranked: RankedJob,
    unplaced: UnplacedTasks,
): void {
    const { step } = unplaced;
    pass.reservingGangs += ranked.schedulingClass === "on-time" ? 1 : 0;
    const reservation = chooseReservation(scheduler, pass, ranked, unplaced);
    if (reservation !== undefined) {
        reservation.workers.forEach(worker => pass.reservedWorkers.add(worker));
        if (ranked.schedulingClass === "entitled") {
            reservation.workers.forEach(worker => pass.guaranteedWorkers.add(worker));
        }
        logReservation(scheduler, ranked, step, reservation);
    }
    step.reservation = reservation;
}

/**
 * Returns whether workers may be kept free for a step. A job that will miss its objective reserves none, and of the
 * gangs that are on time only the first of a pass do.
 *
 * @param pass - The pass.
 * @param ranked - The step's job.
 * @param step - The step.
 * @returns True if `reserveWorkers` may be called for the step.
 */
export function mayReserveWorkers(
    { reservingGangs }: PlacementPass,
    { schedulingClass }: RankedJob,
    { spec }: StepEntry,
): boolean {
    switch (schedulingClass) {
        case "entitled":
        case "starved":
            return true;
        case "on-time":
            return spec.gang && reservingGangs < MAX_RESERVING_GANGS;
        case "late":
        case "too-late":
            return false;
    }
}

function chooseReservation(
    scheduler: Scheduler,
    pass: PlacementPass,
    ranked: RankedJob,
    { step, listWorkers, taskCount }: UnplacedTasks,
): Reservation | undefined {
    const plannedAt = scheduler.clock();
    switch (ranked.schedulingClass) {
        case "entitled": {
            const workers = listWorkers();
            if (
                willFitWithoutPreemption(step, workers, {
                    costOf: createEndAwaiter(scheduler, ranked, step),
                    taskCount,
                })
            ) {
                return step.reservation;
            }
            const target = { ranked, workers, taskCount, entitled: pass.entitled };
            return { workers: preemptForStep(scheduler, step, target), plannedAt };
        }
        case "starved":
        case "on-time": {
            if (plannedAt - getPlanTime(step) < REPLANNING_INTERVAL_MS) {
                return step.reservation;
            }
            if (pass.hasPlanned || (scheduler.nextPlan ?? step) !== step) {
                deferPlan(pass, step);
                return step.reservation;
            }
            pass.hasPlanned = true;
            return { workers: findWorkersToReserve(scheduler, ranked, step, listWorkers()), plannedAt };
        }
        case "late":
        case "too-late":
            return undefined;
    }
}

/** Returns the monotonic time of a step's plan in milliseconds; negative infinity if there is none. */
function getPlanTime({ reservation }: StepEntry): number {
    return reservation?.plannedAt ?? Number.NEGATIVE_INFINITY;
}

/** Lets the step with the oldest plan be the next one, so that each gets its turn however few passes there are. */
function deferPlan(pass: PlacementPass, step: StepEntry): void {
    if (pass.deferredPlan === undefined || getPlanTime(step) < getPlanTime(pass.deferredPlan)) {
        pass.deferredPlan = step;
    }
}

/**
 * Returns whether the workers kept for a step have room for it once the runs that are being stopped, and those whose
 * end the step can wait for, have ended.
 */
function willFitWithoutPreemption(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    options: PlanReclaimOptions,
): boolean {
    const kept = workers.filter(worker => step.reservation?.workers.includes(worker));
    return kept.length > 0 && planReclaim(step, kept, options) !== undefined;
}

/** Logs a reservation once per wait, although its workers may change from plan to plan. */
function logReservation(
    scheduler: Scheduler,
    { schedulingClass }: RankedJob,
    step: StepEntry,
    { workers }: Reservation,
): void {
    if (workers.length > 0 && (step.reservation?.workers.length ?? 0) === 0) {
        scheduler.log.info("Workers are kept free for a step.", {
            job: step.job.id,
            step: step.number,
            occurrence: step.occurrence,
            prospect: schedulingClass,
            workers: workers.length,
        });
    }
}
