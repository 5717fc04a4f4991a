import type { WorkerId } from "../../ids.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { isUntouched } from "./isUntouched.js";
import { removeWorker } from "./removeWorker.js";

/**
 * Removes silent workers of earlier terms that are not listed once a later worker of their machines has answered. A
 * machine has one worker at a time, so they have ended with all that they ran, whatever their leases.
 *
 * @param scheduler - The scheduler.
 * @param listedAddresses - Addresses of the listed workers.
 */
export function removeSucceededWorkers(
    scheduler: Scheduler,
    listedAddresses: ReadonlyMap<WorkerId, string>,
): void {
    for (const id of [...scheduler.unreconciledWorkers.keys()]) {
        const worker = scheduler.fleet.get(id);
        const mayHaveEnded = worker !== undefined && !listedAddresses.has(id) && isUntouched(worker);
        if (mayHaveEnded && [...scheduler.fleet.values()].some(other => isSuccessor(scheduler, id, other))) {
            removeWorker(scheduler, worker, "later-life");
        }
    }
}

function isSuccessor({ rosterLives }: Scheduler, id: WorkerId, other: WorkerEntry): boolean {
    const life = rosterLives.get(id);
    return life !== undefined && other.id !== id && other.hasAnswered
        && other.machine === life.machine && other.bornMs > life.bornMs;
}
