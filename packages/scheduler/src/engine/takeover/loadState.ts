import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { createWakeSignal } from "../../_lib/createWakeSignal.js";
import { OWNER_LEASE_TTL_MS } from "../../constants.js";
import type { JobId, WorkerId } from "../../ids.js";
import type { StoreError, StoreItem } from "../../ports/FleetStore.js";
import { createWorkerEntry } from "../../state/WorkerEntry.js";
import { storeKeys } from "../../storeKeys.js";
import { listInheritedRuns } from "../crashes/suspectedRuns.js";
import { continueSuspicions } from "../crashes/suspicion.js";
import { decodeRoster } from "../fleet/decodeRoster.js";
import { getMaxLeaseMs, getMaxMonotonicMs } from "../fleet/leaseDurations.js";
import { addWorker, applyReports } from "../fleet/watchFleet.js";
import { cancelJob } from "../jobs/registerJob.js";
import type { Scheduler } from "../Scheduler.js";
import { parseCancellationKey, parseJobKey, parseProgressKey, restoreJob } from "./restoreJob.js";

/** Stands for the workers of an unreadable roster: none answers for it, so that inherited jobs wait for the leases. */
const UNREADABLE_ENTRY = "" as WorkerId;

/**
 * Loads the state that earlier owners stored: jobs, progress, cancellations and the roster of workers. Reads the
 * evacuations, which a watch may have left out, so that no start goes to an evacuated data centre.
 *
 * @param scheduler - The scheduler of a term that has just begun.
 * @returns The store revision after which to watch jobs, or the error that prevents loading.
 */
export async function loadState(scheduler: Scheduler): Promise<Result<number, StoreError>> {
    const [jobs, progressRecords, roster, reports, knowsEvacuations] = await Promise.all([
        scheduler.store.list(storeKeys.jobPrefix),
        scheduler.store.list(storeKeys.progressPrefix),
        scheduler.store.read(storeKeys.roster),
        scheduler.listWorkers(),
        scheduler.readEvacuations(),
    ]);
    if (jobs.isErr()) {
        return err(jobs.error);
    }
    if (progressRecords.isErr()) {
        return err(progressRecords.error);
    }
    if (roster.isErr()) {
        return err(roster.error);
    }
    if (reports === undefined) {
        return err({ kind: "unavailable", message: "The list of workers cannot be read. Try again later." });
    }
    if (!knowsEvacuations) {
        return err({ kind: "unavailable", message: "The evacuations cannot be read. Try again later." });
    }
    restoreJobs(scheduler, jobs.value.items, progressRecords.value.items);
    scheduler.watchedSince = scheduler.clock();
    scheduler.lostRuns = listInheritedRuns(scheduler);
    continueSuspicions(scheduler);
    restoreRoster(scheduler, roster.value);
    applyReports(scheduler, reports);
    return ok(jobs.value.revision);
}

function restoreJobs(
    scheduler: Scheduler,
    items: readonly StoreItem[],
    progressItems: readonly StoreItem[],
): void {
    const progressItemsByJob = new Map<string, StoreItem[]>();
    for (const item of progressItems) {
        const id = parseProgressKey(item.key);
        progressItemsByJob.set(id, [...progressItemsByJob.get(id) ?? [], item]);
    }
    const cancelledIds: JobId[] = [];
    for (const item of items) {
        const id = parseCancellationKey(item.key);
        if (id !== undefined) {
            cancelledIds.push(id);
            continue;
        }
        restoreJob(scheduler, item, progressItemsByJob.get(parseJobKey(item.key)) ?? []);
    }
    cancelledIds.forEach(id => cancelJob(scheduler, id));
}

function restoreRoster(scheduler: Scheduler, item: StoreItem | undefined): void {
    if (item === undefined) {
        return;
    }
    scheduler.rosterRevision = item.revision;
    const maxInheritedLeaseMs = getMaxInheritedLeaseMs(scheduler);
    const decoded = decodeRoster(scheduler, item);
    if (decoded === undefined) {
        scheduler.unreconciledWorkers.set(UNREADABLE_ENTRY, scheduler.clock() + maxInheritedLeaseMs);
    }
    scheduler.roster = decoded?.roster ?? new Map();
    scheduler.rosterLives = decoded?.lives ?? new Map();
    const bounds = decoded?.nextTerm === scheduler.ownership.term ? decoded.bounds : undefined;
    for (const [id, address] of scheduler.roster) {
        const unknownRunsMs = bounds?.get(id) ?? maxInheritedLeaseMs;
        scheduler.unreconciledWorkers.set(
            id,
            scheduler.clock() + Math.min(unknownRunsMs, maxInheritedLeaseMs),
        );
        const wakeSignal = createWakeSignal(scheduler.pause);
        addWorker(scheduler, createWorkerEntry(id, address, wakeSignal, scheduler.clock()));
    }
}

/**
 * Returns the longest time that a run of an earlier owner may last after a takeover, in milliseconds.
 *
 * No earlier owner extends a lease beyond the first bound, even one that does not know of its successor; see
 * `extendLease`. Its last orders may have reached incarnations that it did not know, which grant the longest lease.
 */
function getMaxInheritedLeaseMs({ bounds: { maxHoldMs } }: Scheduler): number {
    return Math.max(
        OWNER_LEASE_TTL_MS + getMaxMonotonicMs(getMaxLeaseMs(maxHoldMs)),
        getMaxMonotonicMs(maxHoldMs),
    );
}
