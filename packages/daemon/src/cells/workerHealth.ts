import { setWorkerHealth } from "@balsamward/placement";
import { WORKER_EJECTION_FAILURES, WORKER_EJECTION_MAX_MS, WORKER_EJECTION_MS } from "../constants.js";
import type { WorkerError } from "../fleet/WorkerClient.js";
import type { CellRuntime, WorkerRecord } from "./CellRuntime.js";

/**
 * Records that a worker did not reserve or start a task, and takes it out after a few in a row.
 *
 * A refusal for a stale epoch fences the owner instead: another daemon owns the cell.
 *
 * @param runtime - The runtime of the cell.
 * @param worker - The worker.
 * @param error - The worker's error, or `undefined` if the task failed at once.
 *
 * @example
 * recordTaskFailure(runtime, worker, undefined);
 */
export function recordTaskFailure(
    runtime: CellRuntime,
    worker: WorkerRecord,
    error: WorkerError | undefined,
): void {
    if (error?.kind === "refused" && error.reason === "stale-epoch") {
        runtime.fenced = true;
        return;
    }
    worker.consecutiveFailures += 1;
    if (worker.consecutiveFailures < WORKER_EJECTION_FAILURES) {
        return;
    }
    const ms = Math.min(WORKER_EJECTION_MAX_MS, WORKER_EJECTION_MS * 2 ** worker.ejections);
    worker.ejectedUntil = runtime.context.clock() + ms;
    worker.ejections += 1;
    worker.consecutiveFailures = 0;
    updateWorkerHealth(runtime, worker, false);
    runtime.context.log.warn("A worker fails its tasks and is taken out.", { worker: worker.id, ms });
}

/**
 * Records that a worker finished a task, which clears its failures.
 *
 * @param worker - The worker.
 *
 * @example
 * recordTaskSuccess(worker);
 */
export function recordTaskSuccess(worker: WorkerRecord): void {
    worker.consecutiveFailures = 0;
    worker.ejections = 0;
}

/**
 * Records whether a worker may be given tasks.
 *
 * @param runtime - The runtime of the cell.
 * @param worker - The worker.
 * @param healthy - Whether it answers and is not taken out.
 *
 * @example
 * updateWorkerHealth(runtime, worker, true);
 */
export function updateWorkerHealth(runtime: CellRuntime, worker: WorkerRecord, healthy: boolean): void {
    if (worker.healthy !== healthy) {
        worker.healthy = healthy;
        setWorkerHealth(runtime.cell, worker.id, healthy);
    }
}
