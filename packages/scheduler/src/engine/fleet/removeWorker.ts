import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { countLostRunsOfPredecessor } from "../crashes/countLostRuns.js";
import { rememberLostRuns } from "../crashes/rememberLostRuns.js";
import { releaseLostRun } from "../runs/releaseLostRun.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Removes a worker from the fleet and releases its runs.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which has ended together with its runs; one that has been removed already is ignored.
 * @param reason - How the end is known, for the log.
 */
export function removeWorker(scheduler: Scheduler, worker: WorkerEntry, reason: string): void {
    if (scheduler.fleet.get(worker.id) !== worker) {
        return;
    }
    scheduler.log.info("A worker is removed from the fleet.", {
        worker: worker.id,
        bornMs: worker.bornMs,
        runs: worker.runs.size,
        reason,
    });
    rememberLostRuns(scheduler, worker, worker.runs);
    scheduler.fleet.delete(worker.id);
    scheduler.unreconciledWorkers.delete(worker.id);
    for (const run of [...worker.runs]) {
        releaseLostRun(scheduler, run, reason);
    }
    countLostRunsOfPredecessor(scheduler, worker);
    if (![...scheduler.fleet.values()].some(other => other.address === worker.address)) {
        scheduler.workers.closeConnections(worker.address);
    }
    worker.wakeSignal.notify();
}
