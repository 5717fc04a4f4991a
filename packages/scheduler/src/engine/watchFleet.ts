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
import { hasLeaseEnded } from "./workerClock.js";

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
 * @param worker - The worker.
 */
export function addWorker(scheduler: Scheduler, worker: WorkerEntry): void {
    scheduler.fleet.set(worker.id, worker);
    scheduler.spawn(() => syncWorker(scheduler, worker));
}

function applyReport(scheduler: Scheduler, report: WorkerReport): void {
    let worker = scheduler.fleet.get(report.id);
    if (worker !== undefined && isOtherIncarnation(worker, report)) {
        removeWorker(scheduler, worker, "reborn");
        worker = undefined;
    }
    if (worker === undefined) {
        worker = createWorkerEntry(
            report.id,
            report.address,
            report.bornMs,
            createWakeSignal(scheduler.pause),
        );
        addWorker(scheduler, worker);
        scheduler.log.info("A worker is listed.", { worker: report.id, address: report.address });
    }
    if (report.draining && !worker.draining) {
        scheduler.log.info("A worker starts draining.", { worker: report.id });
    }
    worker.bornMs = worker.bornMs === 0 ? report.bornMs : worker.bornMs;
    worker.service = report.service;
    worker.dataCentre = report.dataCentre;
    worker.labels = report.labels;
    worker.rack = report.rack;
    worker.machine = report.machine;
    worker.draining = report.draining;
    worker.earliestLeaveAt = report.draining
        ? Math.min(worker.earliestLeaveAt, scheduler.clock() + report.remainingMs)
        : Number.POSITIVE_INFINITY;
    updateCapacity(worker, report);
}

function isOtherIncarnation(worker: WorkerEntry, report: WorkerReport): boolean {
    return worker.address !== report.address
        || worker.bornMs !== 0 && report.bornMs !== 0 && worker.bornMs !== report.bornMs;
}

function updateCapacity(worker: WorkerEntry, report: WorkerReport): void {
    worker.free.cpuMillis += report.capacity.cpuMillis - worker.capacity.cpuMillis;
    worker.free.memoryMb += report.capacity.memoryMb - worker.capacity.memoryMb;
    worker.free.accelerators += report.capacity.accelerators - worker.capacity.accelerators;
    worker.capacity = report.capacity;
}

function isRemovable(scheduler: Scheduler, worker: WorkerEntry): boolean {
    const hasNoRecentAnswer = scheduler.clock() - worker.lastAnswerAt > WORKER_LIST_INTERVAL_MS;
    return hasNoRecentAnswer && hasLeaseEnded(scheduler, worker)
        && !scheduler.unreconciledWorkers.has(worker.id);
}

/**
 * Stores the roster of workers that may have runs, so that the next owner reconciles each of them.
 *
 * @param scheduler - The scheduler.
 */
export async function storeRoster(scheduler: Scheduler): Promise<void> {
    const rosterWorkers = [...scheduler.fleet.values()].filter(mayHaveRuns);
    const isCurrent = rosterWorkers.length === scheduler.roster.size
        && rosterWorkers.every(worker => scheduler.roster.has(worker.id));
    if (isCurrent) {
        return;
    }
    const message = create(RosterRecordSchema, {
        workers: rosterWorkers.map(worker => ({ worker: worker.id, address: worker.address })),
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
        rosterWorkers.forEach(worker => scheduler.roster.add(worker.id));
        scheduler.requestPass();
        return;
    }
    scheduler.log.warn("The roster of workers cannot be stored.", {
        reason: written.error.kind,
        workers: rosterWorkers.length,
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
