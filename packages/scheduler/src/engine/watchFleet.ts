import { RosterRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import { WORKER_LIST_INTERVAL_MS } from "../constants.js";
import type { WorkerReport } from "../ports/WorkerPort.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { createWorkerEntry } from "../state/WorkerEntry.js";
import { storeKeys } from "../storeKeys.js";
import type { Scheduler } from "./Scheduler.js";
import { removeWorker, syncWorker } from "./syncWorker.js";

/**
 * Polls the platform's list of workers during a term.
 *
 * @param scheduler - The scheduler.
 */
export async function watchFleet(scheduler: Scheduler): Promise<void> {
    const { signal } = scheduler.ownership;
    while (!signal.aborted) {
        await scheduler.pause(WORKER_LIST_INTERVAL_MS, signal);
        const reports = await scheduler.listWorkers();
        if (reports !== undefined && !signal.aborted) {
            applyReports(scheduler, reports);
            await storeRoster(scheduler);
        }
    }
}

/**
 * Updates the fleet from the reports of its workers and removes workers that are no longer needed.
 *
 * @param scheduler - The scheduler.
 * @param reports - All workers that the platform lists.
 */
export function applyReports(scheduler: Scheduler, reports: readonly WorkerReport[]): void {
    const listed = new Set(reports.map(report => report.id));
    for (const report of reports) {
        applyReport(scheduler, report);
    }
    for (const worker of [...scheduler.fleet.values()]) {
        worker.isListed = listed.has(worker.id);
        if (!worker.isListed && isRemovable(scheduler, worker)) {
            removeWorker(scheduler, worker, "not-listed");
        }
    }
    scheduler.requestPass();
}

/**
 * Adds a worker to the fleet and starts the background task that keeps it in sync.
 *
 * @param scheduler - The scheduler.
 * @param entry - The worker.
 */
export function addWorker(scheduler: Scheduler, entry: WorkerEntry): void {
    scheduler.fleet.set(entry.id, entry);
    scheduler.spawn(() => syncWorker(scheduler, entry));
}

function applyReport(scheduler: Scheduler, report: WorkerReport): void {
    let entry = scheduler.fleet.get(report.id);
    if (entry !== undefined && isOtherIncarnation(entry, report)) {
        removeWorker(scheduler, entry, "reborn");
        entry = undefined;
    }
    if (entry === undefined) {
        entry = createWorkerEntry(
            report.id,
            report.address,
            report.bornMs,
            createWakeSignal(scheduler.pause),
        );
        addWorker(scheduler, entry);
        scheduler.log.info("A worker is listed.", { worker: report.id, address: report.address });
    }
    if (report.draining && !entry.draining) {
        scheduler.log.info("A worker starts draining.", { worker: report.id });
    }
    entry.bornMs = entry.bornMs === 0 ? report.bornMs : entry.bornMs;
    entry.service = report.service;
    entry.dataCentre = report.dataCentre;
    entry.labels = report.labels;
    entry.rack = report.rack;
    entry.machine = report.machine;
    entry.draining = report.draining;
    entry.earliestLeaveAt = report.draining
        ? Math.min(entry.earliestLeaveAt, scheduler.clock() + report.remainingMs)
        : Number.POSITIVE_INFINITY;
    updateCapacity(entry, report);
}

function isOtherIncarnation(entry: WorkerEntry, report: WorkerReport): boolean {
    return entry.address !== report.address
        || entry.bornMs !== 0 && report.bornMs !== 0 && entry.bornMs !== report.bornMs;
}

function updateCapacity(entry: WorkerEntry, report: WorkerReport): void {
    entry.free.cpuMillis += report.capacity.cpuMillis - entry.capacity.cpuMillis;
    entry.free.memoryMb += report.capacity.memoryMb - entry.capacity.memoryMb;
    entry.free.accelerators += report.capacity.accelerators - entry.capacity.accelerators;
    entry.capacity = report.capacity;
}

function isRemovable(scheduler: Scheduler, worker: WorkerEntry): boolean {
    const isSilent = scheduler.clock() - worker.lastAnswerAt > WORKER_LIST_INTERVAL_MS;
    return isSilent && scheduler.clock() >= worker.leaseEndsAt
        && !scheduler.unreconciledWorkers.has(worker.id);
}

/**
 * Stores the roster of workers that may have runs, so that the next owner reconciles each of them.
 *
 * @param scheduler - The scheduler.
 */
export async function storeRoster(scheduler: Scheduler): Promise<void> {
    const members = [...scheduler.fleet.values()].filter(mayHaveRuns);
    const isCurrent = members.length === scheduler.roster.size
        && members.every(worker => scheduler.roster.has(worker.id));
    if (isCurrent) {
        return;
    }
    const message = create(RosterRecordSchema, {
        workers: members.map(worker => ({ worker: worker.id, address: worker.address })),
    });
    const written = await scheduler.store.commit({
        expect: [
            { key: scheduler.ownership.key, revision: scheduler.ownership.revision },
            { key: storeKeys.roster, revision: scheduler.rosterRevision },
        ],
        puts: [{ key: storeKeys.roster, value: toBinary(RosterRecordSchema, message) }],
        removals: [],
    });
    if (written.isOk()) {
        scheduler.rosterRevision = written.value;
        scheduler.roster.clear();
        members.forEach(worker => scheduler.roster.add(worker.id));
        scheduler.requestPass();
        return;
    }
    scheduler.log.warn("The roster of workers cannot be stored.", {
        reason: written.error.kind,
        workers: members.length,
    });
    await refreshRosterRevision(scheduler);
}

/** An unlisted worker gets no starts, so once it has been reached it has only the known runs. */
function mayHaveRuns(worker: WorkerEntry): boolean {
    return worker.isListed || !worker.hasAnswered || worker.runs.size > 0;
}

/** Reads the revision again: a write whose answer was lost may have taken effect, and the next one must expect it. */
async function refreshRosterRevision(scheduler: Scheduler): Promise<void> {
    const stored = await scheduler.store.read(storeKeys.roster);
    if (stored.isOk()) {
        scheduler.rosterRevision = stored.value?.revision ?? 0;
    }
}
