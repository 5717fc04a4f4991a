import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { isIsolated } from "../crashes/isIsolated.js";
import { isEvacuated } from "../fleet/isEvacuated.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Finds the workers on which runs may be started now: reachable, listed, neither draining nor cordoned, not in an
 * evacuated data centre, not running a suspected task apart from others, and in the stored roster with their address
 * and without a bound of their unknown runs.
 *
 * @param scheduler - The scheduler.
 * @returns The workers, regardless of their free capacity and of pauses after faults.
 */
export function findSchedulableWorkers(scheduler: Scheduler): readonly WorkerEntry[] {
    const now = scheduler.clock();
    return [...scheduler.fleet.values()].filter(worker =>
        worker.hasAnswered
        && !worker.isUnresponsive
        && worker.isListed
        && !worker.draining
        && !worker.isCordoned
        && !isEvacuated(scheduler, worker)
        && !isIsolated(worker, now)
        && scheduler.roster.get(worker.id) === worker.address
        && !scheduler.rosterBounds.has(worker.id)
    );
}
