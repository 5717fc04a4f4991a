import type { Run } from "../../state/JobEntry.js";
import { isEvacuated } from "../fleet/isEvacuated.js";
import { isOwnershipConfirmed } from "../isOwnershipConfirmed.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Why an order is not sent: the data centre of its worker is evacuated, the worker no longer answers, another daemon
 * may be the owner, or the worker's capacity has shrunk below what its runs need.
 */
export type UnsentReason = "evacuated" | "silent" | "unconfirmed" | "no-capacity";

/**
 * Returns why the order to start a run must not be sent now.
 *
 * @param scheduler - The scheduler.
 * @param run - The run.
 * @returns The reason, or `undefined` if the order may be sent.
 */
export function findUnsentReason(scheduler: Scheduler, run: Run): UnsentReason | undefined {
    if (isEvacuated(scheduler, run.worker)) {
        return "evacuated";
    }
    if (run.worker.isUnresponsive) {
        // The order would extend the lease after which the worker's other runs have certainly ended.
        return "silent";
    }
    if (!isOwnershipConfirmed(scheduler)) {
        // A worker that has restarted since a successor called it would not refuse the order.
        return "unconfirmed";
    }
    return fitsCapacity(run) ? undefined : "no-capacity";
}

/** Returns whether the capacity of a run's worker suffices for all runs on it; a run that fills idle CPU needs none. */
function fitsCapacity({ worker: { free }, task }: Run): boolean {
    return free.memoryMb >= 0 && free.accelerators >= 0
        && (task.step.spec.fillsIdle || free.cpuMillis >= 0);
}
