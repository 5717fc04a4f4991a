import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Time for which a worker that another one has replaced at its address is not added again although it is still listed,
 * in milliseconds. The platform removes its registration within this time.
 */
const REPLACED_WORKER_RETENTION_MS = 10_000;

/**
 * Returns whether a listed worker is known to be replaced at its address, so that asking it again is of no use.
 *
 * @param scheduler - The scheduler; a replacement that is too old or of another address is forgotten.
 * @param worker - The worker as it is listed.
 * @returns True if a call to it has reached another worker a short time ago.
 */
export function isReplaced(
    { replacedWorkers, clock }: Pick<Scheduler, "replacedWorkers" | "clock">,
    { id, address }: Pick<WorkerEntry, "id" | "address">,
): boolean {
    const replacement = replacedWorkers.get(id);
    if (replacement === undefined) {
        return false;
    }
    const isCurrent = replacement.address === address
        && clock() - replacement.replacedAt < REPLACED_WORKER_RETENTION_MS;
    if (!isCurrent) {
        replacedWorkers.delete(id);
    }
    return isCurrent;
}
