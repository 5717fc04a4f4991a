import type { Assignment } from "../../placement/countFittingTasks.js";
import type { PlacementScope } from "../../placement/createUnplacedSteps.js";
import type { WorkerGroup } from "../../placement/createWorkerGroups.js";
import type { StepEntry, TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { assignStep } from "./assignStep.js";
import type { Concession } from "./assignWithoutPreferences.js";
import { assignWithoutPreferences } from "./assignWithoutPreferences.js";
import { computeRunTimeLimit } from "./computeRunTimeLimit.js";
import type { RankedJob } from "./orderJobs.js";
import type { PlacementPass } from "./PlacementPass.js";
import { filterAllowedWorkers } from "./stepAdvice.js";
import { waitsDespiteRoom } from "./waitsDespiteRoom.js";

/** Longest wait of a gang on time for one rack despite ample room elsewhere, in milliseconds. */
const MAX_ON_TIME_RACK_WAIT_MS = 2_500;

/** A step with tasks to place. */
export type StepToPlace = {
    readonly ranked: RankedJob;
    readonly step: StepEntry;
    /** Waiting tasks of the step; all of its tasks if it is a gang. */
    readonly waiting: readonly TaskEntry[];
    readonly group: WorkerGroup;
    readonly scope: PlacementScope;
    /** Whether the pass has found that no preferred worker has room. */
    readonly hasNoRoom: boolean;
};

/**
 * Chooses workers for the waiting tasks of a step. A step that has waited for long despite ample room drops
 * preferences: it uses paused workers, then those that are kept free for other steps without a guarantee, and a gang
 * is spread over racks last.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass.
 * @param target - The step and its waiting tasks.
 * @returns An assignment for each task that fits; for a gang, for all or for none.
 */
export function chooseAssignments(
    scheduler: Scheduler,
    pass: PlacementPass,
    target: StepToPlace,
): readonly Assignment[] {
    const { ranked, step, waiting, group, scope, hasNoRoom } = target;
    const limit = computeRunTimeLimit(scheduler, ranked, step, group.workers);
    const workers = hasNoRoom ? [] : listUsableWorkers(scheduler, pass, target, group.workers);
    const preferred = hasNoRoom ? [] : assignStep(scheduler, step, waiting, { workers, scope, limit });
    const needsMore = step.spec.lasting ? preferred.length < waiting.length : preferred.length === 0;
    return needsMore && hasWaitedLong(scheduler, pass, target)
        ? assignWithoutPreferences(step, waiting, {
            preferred,
            preferredWorkers: listUsableWorkers(scheduler, pass, target, group.workers),
            concessions: listConcessions(scheduler, pass, target),
            limit,
        })
        : preferred;
}

/**
 * Returns whether a step has waited for so long despite ample room that it drops preferences.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass.
 * @param target - The step.
 * @returns True if `chooseAssignments` concedes workers or racks to the step.
 */
export function hasWaitedLong(
    scheduler: Scheduler,
    pass: PlacementPass,
    { ranked, step, group }: Pick<StepToPlace, "ranked" | "step" | "group">,
): boolean {
    const capacity = pass.capacities.get(ranked.terms.service);
    return waitsDespiteRoom(step, { group, capacity, now: scheduler.clock() });
}

/**
 * Lists those of the given workers that a step may use: allowed by its advice, and not kept free for another step.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass.
 * @param target - The step.
 * @param workers - Workers that match the step's service and required label.
 * @returns The workers.
 */
export function listUsableWorkers(
    scheduler: Scheduler,
    { reservedWorkers }: PlacementPass,
    { ranked, step }: Pick<StepToPlace, "ranked" | "step">,
    workers: readonly WorkerEntry[],
): readonly WorkerEntry[] {
    return filterAllowedWorkers(ranked.terms.advice, step, workers, scheduler.clock())
        .filter(worker => !reservedWorkers.has(worker));
}

/**
 * Lists the workers of a group that get no starts for a while after faults.
 *
 * @param pass - The pass.
 * @param group - The group.
 * @returns The paused workers.
 */
export function listPausedWorkers(
    { pausedWorkers }: PlacementPass,
    group: WorkerGroup,
): readonly WorkerEntry[] {
    return group.listNonDraining().filter(worker => pausedWorkers.has(worker));
}

function listConcessions(
    scheduler: Scheduler,
    pass: PlacementPass,
    target: StepToPlace,
): readonly Concession[] {
    const { ranked, step, group, scope } = target;
    const now = scheduler.clock();
    const paused = listPausedWorkers(pass, group);
    const reserved = filterAllowedWorkers(ranked.terms.advice, step, [...group.workers, ...paused], now)
        .filter(worker => pass.reservedWorkers.has(worker) && !pass.guaranteedWorkers.has(worker));
    const concessions: readonly Concession[] = [
        { addedWorkers: listUsableWorkers(scheduler, pass, target, paused), scope },
        { addedWorkers: reserved, scope },
    ];
    return scope === "rack" && maySpread(ranked, step, now)
        ? [...concessions, { addedWorkers: [], scope: "fleet" }]
        : concessions;
}

/** Returns whether a gang that waits despite ample room may be spread over racks, where it runs slower. */
function maySpread({ entry, times }: RankedJob, step: StepEntry, now: number): boolean {
    const isLate = now - entry.acceptedAt + times.remainingCriticalPathMs > times.objectiveMs;
    return isLate || now - (step.waitingSince ?? now) >= MAX_ON_TIME_RACK_WAIT_MS;
}
