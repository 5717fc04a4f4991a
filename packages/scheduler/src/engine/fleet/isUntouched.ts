import type { WorkerEntry } from "../../state/WorkerEntry.js";

/**
 * Returns whether a worker is silent and this owner has sent it nothing that starts a run or extends a lease.
 *
 * @param worker - The worker.
 * @returns True if all its runs are of earlier owners.
 */
export function isUntouched({ hasAnswered, isUnresponsive, runs, longestLeaseEndsAt }: WorkerEntry): boolean {
    return isUnresponsive && !hasAnswered && runs.size === 0
        && longestLeaseEndsAt === Number.NEGATIVE_INFINITY;
}
