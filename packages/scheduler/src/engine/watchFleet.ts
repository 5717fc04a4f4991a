import { RosterRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import { WORKER_LIST_INTERVAL_MS } from "../constants.js";
import type { WorkerReport } from "../ports/WorkerPort.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { createWorkerEntry } from "../state/WorkerEntry.js";
import { storeKeys } from "../storeKeys.js";
import { dropWorker, runWorker } from "./runWorker.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Follows the platform's list of workers during a term.
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
            await keepRoster(scheduler);
        }
    }
}

/**
 * Takes over what the workers say of themselves.
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
        if (!worker.isListed && isForgettable(scheduler, worker)) {
            dropWorker(scheduler, worker, "not-listed");
        }
    }
    scheduler.wake();
}

/**
 * Adds a worker and starts its task.
 *
 * @param scheduler - The scheduler.
 * @param entry - The worker.
 */
export function addWorker(scheduler: Scheduler, entry: WorkerEntry): void {
    scheduler.fleet.set(entry.id, entry);
    scheduler.spawn(() => runWorker(scheduler, entry));
}

function applyReport(scheduler: Scheduler, report: WorkerReport): void {
    let entry = scheduler.fleet.get(report.id);
    if (entry !== undefined && isOtherLife(entry, report)) {
        dropWorker(scheduler, entry, "reborn");
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
        scheduler.log.info("A worker drains.", { worker: report.id });
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
    takeCapacity(entry, report);
}

function isOtherLife(entry: WorkerEntry, report: WorkerReport): boolean {
    return entry.address !== report.address
        || entry.bornMs !== 0 && report.bornMs !== 0 && entry.bornMs !== report.bornMs;
}

function takeCapacity(entry: WorkerEntry, report: WorkerReport): void {
    entry.free.cpuMillis += report.capacity.cpuMillis - entry.capacity.cpuMillis;
    entry.free.memoryMb += report.capacity.memoryMb - entry.capacity.memoryMb;
    entry.free.accelerators += report.capacity.accelerators - entry.capacity.accelerators;
    entry.capacity = report.capacity;
}

function isForgettable(scheduler: Scheduler, worker: WorkerEntry): boolean {
    const isSilent = scheduler.clock() - worker.lastAnswerAt > WORKER_LIST_INTERVAL_MS;
    return isSilent && scheduler.clock() >= worker.leaseEndsAt && !scheduler.unreconciled.has(worker.id);
}

/**
 * Stores which workers may hold runs, so that a later owner asks each of them.
 *
 * @param scheduler - The scheduler.
 */
export async function keepRoster(scheduler: Scheduler): Promise<void> {
    const wanted = [...scheduler.fleet.values()].filter(mayHoldRuns);
    const isCurrent = wanted.length === scheduler.roster.size
        && wanted.every(worker => scheduler.roster.has(worker.id));
    if (isCurrent) {
        return;
    }
    const message = create(RosterRecordSchema, {
        workers: wanted.map(worker => ({ worker: worker.id, address: worker.address })),
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
        wanted.forEach(worker => scheduler.roster.add(worker.id));
        scheduler.wake();
        return;
    }
    scheduler.log.warn("The roster of workers is not stored.", {
        reason: written.error.kind,
        workers: wanted.length,
    });
    await readRosterRevision(scheduler);
}

/** A worker that is not listed gets no starts, so that it holds nothing beyond the runs that are known. */
function mayHoldRuns(worker: WorkerEntry): boolean {
    return worker.isListed || !worker.hasAnswered || worker.runs.size > 0;
}

/** A write whose answer was lost may have taken effect: the next write must expect its revision. */
async function readRosterRevision(scheduler: Scheduler): Promise<void> {
    const stored = await scheduler.store.read(storeKeys.roster);
    if (stored.isOk()) {
        scheduler.rosterRevision = stored.value?.revision ?? 0;
    }
}
