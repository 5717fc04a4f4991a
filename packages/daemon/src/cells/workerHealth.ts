import { setWorkerHealth } from "@balsamward/placement";
import {
    WORKER_EJECTION_FAILURE_THRESHOLD,
    WORKER_EJECTION_INITIAL_MS,
    WORKER_EJECTION_MAX_MS,
} from "../constants.js";
import type { WorkerError } from "../fleet/WorkerClient.js";
import type { CellRuntime, WorkerRecord } from "./CellRuntime.js";

/**
 * Records that a worker failed to reserve, start or run a task, and ejects it after several consecutive failures.
 *
 * Each further ejection lasts twice as long, up to a limit. A refusal for a stale epoch does not count
 * against the worker: it marks the owner as fenced, because another daemon owns the cell.
 *
 * @param runtime - The cell's runtime.
 * @param worker - The worker.
 * @param error - The worker's error, or `undefined` if the task itself failed.
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
    if (worker.consecutiveFailures < WORKER_EJECTION_FAILURE_THRESHOLD) {
        return;
    }
    const ms = Math.min(WORKER_EJECTION_MAX_MS, WORKER_EJECTION_INITIAL_MS * 2 ** worker.ejections);
    worker.ejectedUntil = runtime.context.clock() + ms;
    worker.ejections += 1;
    worker.consecutiveFailures = 0;
    updateWorkerHealth(runtime, worker, false);
    runtime.context.log.warn(
        "A worker is ejected because it repeatedly fails to reserve, start or run tasks.",
        {
            worker: worker.id,
            ms,
        },
    );
}

/**
 * Records that a worker finished a task, which resets its failures and ejections.
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
 * Updates whether a worker can receive tasks, also in the cell's placement data.
 *
 * @param runtime - The cell's runtime.
 * @param worker - The worker.
 * @param healthy - Whether the worker answers, is not ejected and is not leaving.
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
