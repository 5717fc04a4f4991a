import { MAX_WORKER_PAUSE_MS, MIN_WORKER_PAUSE_MS } from "../../constants.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Pauses starts on a worker, for twice as long with each consecutive fault up to a maximum.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 */
export function pauseWorker(scheduler: Scheduler, worker: WorkerEntry): void {
    const pauseMs = Math.min(MAX_WORKER_PAUSE_MS, MIN_WORKER_PAUSE_MS * 2 ** worker.consecutiveFaults);
    worker.consecutiveFaults += 1;
    worker.pausedUntil = scheduler.clock() + pauseMs;
    scheduler.log.info("A worker is paused.", {
        worker: worker.id,
        faults: worker.consecutiveFaults,
        pauseMs,
    });
}
