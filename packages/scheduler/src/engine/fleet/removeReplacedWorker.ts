import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { removeWorker } from "./removeWorker.js";

/**
 * Removes a worker after a call to it has reached another worker at its address.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 */
export function removeReplacedWorker(scheduler: Scheduler, worker: WorkerEntry): void {
    removeWorker(scheduler, worker, "other-life");
    scheduler.replacedWorkers.set(worker.id, { address: worker.address, replacedAt: scheduler.clock() });
}
