import type { CellWorker, Holding, Placement } from "@balsamward/placement";
import { bindGuarantees, createCell, occupyCell } from "@balsamward/placement";
import type { CustomerId, Grant, GuaranteeId, Job, JobId, WorkerId } from "@balsamward/schema";
import { JobStage, Standing } from "@balsamward/schema";
import type { CellBook, WorkerRecord } from "./CellBook.js";

/**
 * Builds the occupancy of a cell anew from its workers, its guarantees and its jobs.
 *
 * Called when a cell is opened, when workers come or go, and when a configuration comes into force.
 *
 * @param book - The book; its `cell`, `workers` and `generation` are replaced.
 *
 * @example
 * rebuildCell(book);
 */
export function rebuildCell(book: CellBook): void {
    const configured = book.context.configured();
    const vms = book.context.listWorkers();
    const listed = new Set(vms.map(vm => vm.id));
    for (const vm of vms) {
        const record = book.workers.get(vm.id as WorkerId) ?? newRecord(vm.id as WorkerId);
        record.address = vm.address;
        record.leaving = vm.state === "leaving";
        book.workers.set(record.id, record);
    }
    for (const id of book.workers.keys()) {
        if (!listed.has(id)) {
            book.workers.delete(id);
        }
    }
    const workers = vms.map((vm): CellWorker => ({
        id: vm.id as WorkerId,
        rack: vm.rack,
        accelerators: vm.accelerators,
    }));
    const units = configured?.guaranteeDivision.get(book.context.id) ?? [];
    const cell = createCell(workers, { units });
    for (const [index, worker] of workers.entries()) {
        cell.healthy[index] = book.workers.get(worker.id)!.healthy ? cell.healthy[index]! : 0;
    }
    for (const job of book.jobs.values()) {
        if (job.grants.length > 0 && !book.displaced.has(job.id as JobId)) {
            occupyCell(cell, holdingOf(book, job));
        }
    }
    bindGuarantees(cell);
    book.cell = cell;
    book.generation = configured?.configuration.generation ?? 0n;
}

/**
 * Returns what a job holds, as the placement package sees it.
 *
 * @param book - The book, for the urgency of the job's kind.
 * @param job - The job.
 * @returns The holding.
 *
 * @example
 * occupyCell(book.cell, holdingOf(book, job));
 */
export function holdingOf(book: CellBook, job: Job): Holding {
    return {
        job: job.id as JobId,
        customer: job.customer as CustomerId,
        urgency: urgencyOf(book, job),
        standing: job.standing === Standing.GUARANTEED
            ? { kind: "guaranteed", guarantee: job.guarantee as GuaranteeId, slot: placementOf(job.slot) }
            : { kind: "borrowed" },
        placement: placementOf(job.grants),
    };
}

/**
 * Returns the urgency of a job's kind.
 *
 * @param book - The book with the configuration in force.
 * @param job - The job.
 * @returns The urgency, larger for more urgent; 0 if the kind is no longer in the document.
 *
 * @example
 * urgencyOf(book, job);
 */
export function urgencyOf(book: CellBook, job: Job): number {
    return book.context.configured()?.document.kind[job.kind]?.urgency ?? 0;
}

/**
 * Tells whether a job has not ended and waits for a place.
 *
 * @param job - The job.
 * @returns Whether it is queued.
 *
 * @example
 * [...book.jobs.values()].filter(isQueued);
 */
export function isQueued(job: Job): boolean {
    return job.stage === JobStage.QUEUED;
}

function placementOf(grants: readonly Grant[]): Placement {
    return grants.map(({ worker, accelerators, members }) => ({
        worker: worker as WorkerId,
        accelerators,
        members,
    }));
}

function newRecord(id: WorkerId): WorkerRecord {
    return {
        id,
        address: "",
        healthy: false,
        confirmedAt: 0,
        settled: [],
        failures: 0,
        ejections: 0,
        ejectedUntil: 0,
        leaving: false,
    };
}
