import { getPlacementScope } from "../../placement/getPlacementScope.js";
import type { StepEntry } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { countExclusions } from "./countExclusions.js";
import { isEligible } from "./isEligible.js";
import type { RankedJob } from "./orderJobs.js";
import type { PlacementPass } from "./PlacementPass.js";
import { waitsDespiteRoom } from "./waitsDespiteRoom.js";

/** Maximum number of waits that a pass logs. */
const MAX_LOGGED_WAITS = 4;

/**
 * Logs, once for each wait, why a step waits for long although there is ample room for it.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass, which has placed what it could.
 * @param rankedJobs - The jobs of the pass.
 */
export function logLongWaits(
    scheduler: Scheduler,
    pass: PlacementPass,
    rankedJobs: readonly RankedJob[],
): void {
    let remaining = MAX_LOGGED_WAITS;
    for (const ranked of rankedJobs) {
        for (const step of ranked.readySteps) {
            if (remaining > 0 && !step.isWaitLogged && isLongWait(scheduler, pass, ranked, step)) {
                step.isWaitLogged = true;
                remaining -= 1;
                logWait(scheduler, pass, ranked, step);
            }
        }
    }
}

function isLongWait(
    scheduler: Scheduler,
    { groups, capacities }: PlacementPass,
    { terms }: RankedJob,
    step: StepEntry,
): boolean {
    const group = groups.get(terms.service, step.spec.requiredLabel);
    return waitsDespiteRoom(step, {
        group,
        capacity: capacities.get(terms.service),
        now: scheduler.clock(),
    });
}

function logWait(
    scheduler: Scheduler,
    { groups, reservedWorkers, freeStarts, hasWaitingStarts }: PlacementPass,
    { terms, schedulingClass }: RankedJob,
    step: StepEntry,
): void {
    const now = scheduler.clock();
    const eligible = [...scheduler.fleet.values()].filter(worker => isEligible(worker, terms, step));
    const reserved = new Set(
        [...reservedWorkers].filter(worker => step.reservation?.workers.includes(worker) !== true),
    );
    scheduler.log.info("A step waits although there is room for it.", {
        job: step.job.id,
        step: step.number,
        occurrence: step.occurrence,
        waitedMs: Math.round(now - (step.waitingSince ?? now)),
        prospect: schedulingClass,
        scope: getPlacementScope(groups.get(terms.service, step.spec.requiredLabel), step.spec),
        tasks: step.tasks.length,
        freeStarts,
        hasWaitingStarts,
        unreconciledWorkers: scheduler.unreconciledWorkers.size,
        workers: countExclusions(step.spec, eligible, {
            reserved,
            evacuated: scheduler.evacuatedDataCentres(),
            roster: scheduler.roster,
            now,
        }),
    });
}
