import { assignTasks } from "../../placement/assignTasks.js";
import type { Assignment } from "../../placement/countFittingTasks.js";
import type { WorkerGroup } from "../../placement/createWorkerGroups.js";
import { getPlacementScope } from "../../placement/getPlacementScope.js";
import type { StepEntry } from "../../state/JobEntry.js";
import { listWaitingTasks } from "../../state/listWaitingTasks.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { startRuns } from "../runs/startRuns.js";
import type { Scheduler } from "../Scheduler.js";
import { assignWithoutPreferences } from "./assignWithoutPreferences.js";
import type { RankedJob } from "./orderJobs.js";
import type { PlacementPass } from "./PlacementPass.js";
import { mayReserveWorkers, reserveWorkers } from "./reserveWorkers.js";
import { filterAllowedWorkers, requestAdvice } from "./stepAdvice.js";
import { waitsDespiteRoom } from "./waitsDespiteRoom.js";

/** Longest wait of a gang on time for one rack despite ample room elsewhere, in milliseconds. */
const MAX_ON_TIME_RACK_WAIT_MS = 2_500;

/**
 * Places as many waiting tasks of a step as fit. A guaranteed step that does not fit preempts other runs. A
 * starved step, and a gang that is on time, reserve workers that soon have enough free capacity. A step that has
 * waited for long despite ample room drops preferences: it uses paused workers, and then
 * those that are kept free for other steps without a guarantee, and a gang is spread over racks last.
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
    const now = scheduler.clock();
    const isLongWait = (): boolean =>
        waitsDespiteRoom(step, { group, capacity: pass.capacities.get(service), now });
    if (hasNoRoom && !mayReserveWorkers(pass, ranked, step) && !isLongWait()) {
        pass.hasUnplacedSteps = true;
        return;
    }
    const waiting = listWaitingTasks(step);
    if (step.spec.gang && waiting.length < step.tasks.length) {
        // The members of an earlier run have not all ended.
        pass.hasUnplacedSteps = true;
        return;
    }
    const listUsable = (workers: readonly WorkerEntry[]): readonly WorkerEntry[] =>
        filterAllowedWorkers(advice, step, workers, now).filter(worker => !pass.reservedWorkers.has(worker));
    const listReserved = (workers: readonly WorkerEntry[]): readonly WorkerEntry[] =>
        filterAllowedWorkers(advice, step, workers, now)
            .filter(worker => pass.reservedWorkers.has(worker) && !pass.guaranteedWorkers.has(worker));
    const listWorkers = (): readonly WorkerEntry[] => listUsable(group.workers);
    const preferred = hasNoRoom ? [] : assignTasks(step, waiting, listWorkers(), scope);
    const needsMore = step.spec.lasting ? preferred.length < waiting.length : preferred.length === 0;
    const dropsPreferences = needsMore && isLongWait();
    const pausedWorkers = dropsPreferences ? listPausedWorkers(pass, group) : [];
    const fitting = dropsPreferences
        ? assignWithoutPreferences(step, waiting, {
            preferred,
            preferredWorkers: listWorkers(),
            concessions: [
                { addedWorkers: listUsable(pausedWorkers), scope },
                { addedWorkers: listReserved([...group.workers, ...pausedWorkers]), scope },
                ...(scope === "rack" && maySpread(ranked, step, now)
                    ? [{ addedWorkers: [], scope: "fleet" } as const]
                    : []),
            ],
        })
        : preferred;
    const assignments = limitToFreeStarts(pass, step, fitting);
    startRuns(scheduler, step, assignments);
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
        requestAdvice(scheduler, advice, step, [...group.workers, ...pausedWorkers]);
    }
    else if (step.spec.maxPerWorker === 0) {
        pass.unplacedSteps.add(group.key, step.spec, scope);
    }
    if (mayReserveWorkers(pass, ranked, step)) {
        const taskCount = waiting.length - assignments.length;
        reserveWorkers(scheduler, pass, ranked, { step, listWorkers, taskCount });
    }
}

/** Returns whether a gang that waits despite ample room may be spread over racks, where it runs slower. */
function maySpread({ entry, times }: RankedJob, step: StepEntry, now: number): boolean {
    const isLate = now - entry.acceptedAt + times.remainingCriticalPathMs > times.objectiveMs;
    return isLate || now - (step.waitingSince ?? now) >= MAX_ON_TIME_RACK_WAIT_MS;
}

function listPausedWorkers({ pausedWorkers }: PlacementPass, group: WorkerGroup): readonly WorkerEntry[] {
    return group.listNonDraining().filter(worker => pausedWorkers.has(worker));
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
