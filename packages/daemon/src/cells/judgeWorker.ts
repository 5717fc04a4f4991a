import { setWorkerHealth } from "@balsamward/placement";
import {
    WORKER_EJECTION_FAILURES,
    WORKER_EJECTION_INITIAL_MS,
    WORKER_EJECTION_MAX_MS,
} from "../constants.js";
import type { WorkerError } from "../fleet/WorkerClient.js";
import type { CellBook, WorkerRecord } from "./CellBook.js";

/**
 * Records that a worker did not reserve or start a task, and takes it out after a few in a row.
 *
 * A refusal for a stale epoch fences the owner instead: another daemon owns the cell.
 *
 * @param book - The book.
 * @param worker - The worker.
 * @param error - The worker's error, or `undefined` if the task failed at once.
 *
 * @example
 * recordStartFailure(book, worker, undefined);
 */
export function recordStartFailure(
    book: CellBook,
    worker: WorkerRecord,
    error: WorkerError | undefined,
): void {
    if (error?.kind === "refused" && error.reason === "stale-epoch") {
        book.fenced = true;
        return;
    }
    worker.failures += 1;
    if (worker.failures < WORKER_EJECTION_FAILURES) {
        return;
    }
    const ms = Math.min(WORKER_EJECTION_MAX_MS, WORKER_EJECTION_INITIAL_MS * 2 ** worker.ejections);
    worker.ejectedUntil = book.context.clock() + ms;
    worker.ejections += 1;
    worker.failures = 0;
    setHealth(book, worker, false);
    book.context.log.warn("A worker fails its tasks and is taken out.", { worker: worker.id, ms });
}

/**
 * Records that a worker finished a task, which clears its failures.
 *
 * @param worker - The worker.
 *
 * @example
 * recordFinish(worker);
 */
export function recordFinish(worker: WorkerRecord): void {
    worker.failures = 0;
    worker.ejections = 0;
}

/**
 * Records whether a worker may be given tasks.
 *
 * @param book - The book.
 * @param worker - The worker.
 * @param healthy - Whether it answers and is not taken out.
 *
 * @example
 * setHealth(book, worker, true);
 */
export function setHealth(book: CellBook, worker: WorkerRecord, healthy: boolean): void {
    if (worker.healthy !== healthy) {
        worker.healthy = healthy;
        setWorkerHealth(book.cell, worker.id, healthy);
    }
}
