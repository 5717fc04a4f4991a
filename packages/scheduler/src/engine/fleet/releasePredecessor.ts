import type { WorkerReport } from "../../ports/WorkerPort.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { rememberLostRuns } from "../crashes/rememberLostRuns.js";
import { releaseLostRun } from "../runs/releaseLostRun.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Releases the runs of a silent worker once a later one is listed on its machine and at its address. The platform has
 * one worker on a machine at a time, so the earlier one has ended; its lease may end much later.
 *
 * @param scheduler - The scheduler.
 * @param report - The later worker as it is listed.
 */
export function releasePredecessor(scheduler: Scheduler, report: WorkerReport): void {
    if (scheduler.fleet.get(report.id)?.hasAnswered === true) {
        // What its predecessor ran has been released since.
        return;
    }
    for (const worker of scheduler.fleet.values()) {
        if (worker.runs.size > 0 && worker.isUnresponsive && isPredecessor(worker, report)) {
            rememberLostRuns(scheduler, worker, worker.runs);
            [...worker.runs].forEach(run => releaseLostRun(scheduler, run, "replaced"));
        }
    }
}

function isPredecessor(worker: WorkerEntry, report: WorkerReport): boolean {
    return worker.id !== report.id
        && worker.address === report.address
        && worker.machine !== "" && worker.machine === report.machine
        && worker.bornMs !== 0 && worker.bornMs < report.bornMs;
}
