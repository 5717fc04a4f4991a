import type { WorkerEntry } from "../../state/WorkerEntry.js";

/**
 * Returns whether a worker's start differs from that of the incarnation that last answered a hold.
 *
 * @param worker - The worker.
 * @param bornMs - Wall time of the start that is reported, in milliseconds since 1970; 0 if unknown.
 * @returns True if both starts are known and differ.
 */
export function isOtherIncarnation(worker: WorkerEntry, bornMs: number): boolean {
    return worker.bornMs !== 0 && bornMs !== 0 && worker.bornMs !== bornMs;
}
