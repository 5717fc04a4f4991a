import type { Allocation, CellWorker, Placement } from "@balsamward/placement";
import { bindGuarantees, createCell, recordAllocation } from "@balsamward/placement";
import type { CustomerId, Grant, GuaranteeId, Job, JobId, WorkerId } from "@balsamward/schema";
import { JobStage, Standing } from "@balsamward/schema";
import type { CellRuntime, WorkerRecord } from "./CellRuntime.js";

/**
 * Rebuilds the occupancy of a cell from its workers, its guarantees and its jobs.
 *
 * Called when a cell is opened, when a worker joins, leaves or changes, and when a new configuration is in force.
 *
 * @param runtime - The cell's runtime; its `cell` and `generation` are replaced, and `workers` is updated.
 *
 * @example
 * rebuildCell(runtime);
 */
export function rebuildCell(runtime: CellRuntime): void {
    const activeConfiguration = runtime.context.getActiveConfiguration();
    const vms = runtime.context.listWorkerVms();
    const listedIds = new Set(vms.map(vm => vm.id));
    for (const vm of vms) {
        const record = runtime.workers.get(vm.id as WorkerId)
            ?? createWorkerRecord(vm.id as WorkerId, runtime.context.clock());
        record.address = vm.address;
        record.leaving = vm.state === "leaving";
        runtime.workers.set(record.id, record);
    }
    for (const id of runtime.workers.keys()) {
        if (!listedIds.has(id)) {
            runtime.workers.delete(id);
        }
    }
    const workers = vms.map((vm): CellWorker => ({
        id: vm.id as WorkerId,
        rack: vm.rack,
        accelerators: vm.accelerators,
    }));
    const guaranteedGangs = activeConfiguration?.guaranteeDivision.get(runtime.context.id) ?? [];
    const cell = createCell(workers, { guaranteedGangs });
    for (const [index, worker] of workers.entries()) {
        cell.healthyAccelerators[index] = runtime.workers.get(worker.id)!.healthy
            ? cell.healthyAccelerators[index]!
            : 0;
    }
    for (const job of runtime.jobs.values()) {
        if (job.grants.length > 0 && !runtime.preemptedJobs.has(job.id as JobId)) {
            recordAllocation(cell, toAllocation(runtime, job));
        }
    }
    bindGuarantees(cell);
    runtime.cell = cell;
    runtime.generation = activeConfiguration?.configuration.generation ?? 0n;
}

/**
 * Converts a job and its grants to an allocation of the placement package.
 *
 * @param runtime - The cell's runtime, which supplies the urgency of the job's kind.
 * @param job - The job.
 * @returns The allocation.
 *
 * @example
 * recordAllocation(runtime.cell, toAllocation(runtime, job));
 */
export function toAllocation(runtime: CellRuntime, job: Job): Allocation {
    return {
        job: job.id as JobId,
        customer: job.customer as CustomerId,
        urgency: getUrgency(runtime, job),
        standing: job.standing === Standing.GUARANTEED
            ? { kind: "guaranteed", guarantee: job.guarantee as GuaranteeId, slot: toPlacement(job.slot) }
            : { kind: "borrowed" },
        placement: toPlacement(job.grants),
    };
}

/**
 * Returns the urgency of a job's kind.
 *
 * @param runtime - The cell's runtime, which supplies the current configuration.
 * @param job - The job.
 * @returns The urgency, where larger is more urgent, or 0 if the kind is no longer in the document.
 *
 * @example
 * getUrgency(runtime, job);
 */
export function getUrgency(runtime: CellRuntime, job: Job): number {
    return runtime.context.getActiveConfiguration()?.document.kind[job.kind]?.urgency ?? 0;
}

/**
 * Tells whether a job is waiting for a placement.
 *
 * @param job - The job.
 * @returns Whether the job is queued.
 *
 * @example
 * [...runtime.jobs.values()].filter(isQueued);
 */
export function isQueued(job: Job): boolean {
    return job.stage === JobStage.QUEUED;
}

function toPlacement(grants: readonly Grant[]): Placement {
    return grants.map(({ worker, accelerators, members }) => ({
        worker: worker as WorkerId,
        accelerators,
        members,
    }));
}

function createWorkerRecord(id: WorkerId, now: number): WorkerRecord {
    return {
        id,
        address: "",
        healthy: false,
        // An earlier owner may have renewed the reservations until now.
        lastRenewedAt: now,
        settledReservations: [],
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntil: 0,
        leaving: false,
    };
}
