import { createWakeSignal } from "../../_lib/createWakeSignal.js";
import { keepRunning } from "../../_lib/keepRunning.js";
import { WORKER_LIST_INTERVAL_MS } from "../../constants.js";
import type { WorkerReport } from "../../ports/WorkerPort.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { createWorkerEntry } from "../../state/WorkerEntry.js";
import { followMachineLives } from "../crashes/followMachineLives.js";
import type { Scheduler } from "../Scheduler.js";
import { awaitIncarnation } from "./awaitIncarnation.js";
import { getMachineName } from "./getMachineName.js";
import { isOtherIncarnation } from "./isOtherIncarnation.js";
import { isReplaced } from "./isReplaced.js";
import { mayHaveUnknownRuns } from "./mayHaveUnknownRuns.js";
import { releasePredecessor } from "./releasePredecessor.js";
import { removeSucceededWorkers } from "./removeSucceededWorkers.js";
import { removeWorker } from "./removeWorker.js";
import { storeRoster } from "./storeRoster.js";
import { syncWorker } from "./syncWorker.js";
import { hasLeaseEnded, hasRunLeaseEnded } from "./workerLease.js";

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
    followMachineLives(scheduler, reports);
    const listedAddresses = new Map(reports.map(report => [report.id, report.address]));
    for (const report of reports) {
        if (!isReplaced(scheduler, report)) {
            applyReport(scheduler, report);
            releasePredecessor(scheduler, report);
        }
    }
    [...scheduler.replacedWorkers.keys()].filter(id => !listedAddresses.has(id))
        .forEach(id => scheduler.replacedWorkers.delete(id));
    removeSucceededWorkers(scheduler, listedAddresses);
    for (const worker of [...scheduler.fleet.values()]) {
        worker.isListed = listedAddresses.get(worker.id) === worker.address;
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
    const sync = (): Promise<void> => syncWorker(scheduler, worker);
    scheduler.spawn(() => keepRunning(`worker ${worker.id}`, sync, scheduler.ownership.signal, scheduler));
}

function applyReport(scheduler: Scheduler, report: WorkerReport): void {
    let worker = scheduler.fleet.get(report.id);
    if (worker !== undefined && worker.address !== report.address) {
        if (!hasLeftAddress(scheduler, worker, report)) {
            return;
        }
        removeWorker(scheduler, worker, "other-address");
        worker = undefined;
    }
    if (worker === undefined) {
        const wakeSignal = createWakeSignal(scheduler.pause);
        worker = createWorkerEntry(report.id, report.address, wakeSignal, scheduler.clock());
        addWorker(scheduler, worker);
        scheduler.log.info("A worker is listed.", { worker: report.id, address: report.address });
    }
    if (report.draining && !worker.draining) {
        scheduler.log.info("A worker starts draining.", { worker: report.id });
    }
    if (isOtherIncarnation(worker, report.bornMs)) {
        // The list may be older or newer than the last hold: the next one shows which incarnation is there.
        awaitIncarnation(worker, scheduler.clock());
    }
    worker.drainingBornMs = report.draining ? report.bornMs : worker.drainingBornMs;
    worker.service = report.service;
    worker.dataCentre = report.dataCentre;
    worker.labels = report.labels;
    worker.rack = report.rack;
    worker.machine = report.machine;
    scheduler.relativeRunTimes.list(getMachineName(worker), scheduler.clock());
    worker.relativeRunTime = scheduler.relativeRunTimes.get(getMachineName(worker));
    worker.draining = report.draining;
    worker.earliestLeaveAt = report.draining
        ? Math.min(worker.earliestLeaveAt, scheduler.clock() + report.remainingMs)
        : Number.POSITIVE_INFINITY;
    updateColdUntil(worker, report, scheduler.clock());
    updateCapacity(worker, report);
}

/**
 * Updates the time until which a worker is slow after its start. A worker may report the remaining time, or the same
 * time in each entry, so that only a new value or a new incarnation counts from now on. The time of an incarnation that
 * has become fast is kept, since runs that began before it show nothing about the machine.
 */
function updateColdUntil(worker: WorkerEntry, { bornMs, coldMs }: WorkerReport, now: number): void {
    const { reportedColdness } = worker;
    if (bornMs !== reportedColdness.bornMs || coldMs !== reportedColdness.coldMs) {
        worker.reportedColdness = { bornMs, coldMs };
        worker.coldUntil = coldMs > 0 ? now + coldMs : Math.min(worker.coldUntil, now);
    }
}

/**
 * Returns whether a worker that is listed at another address runs nothing at the known one. Another client may have
 * written the entry, so without a restart, its runs there count until the worker is removable.
 */
function hasLeftAddress(scheduler: Scheduler, worker: WorkerEntry, report: WorkerReport): boolean {
    return isOtherIncarnation(worker, report.bornMs) || isRemovable(scheduler, worker)
        || worker.runs.size === 0 && !mayHaveUnknownRuns(scheduler, worker.id);
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
        && [...worker.runs].every(run => hasRunLeaseEnded(scheduler, run))
        && !mayHaveUnknownRuns(scheduler, worker.id);
}
