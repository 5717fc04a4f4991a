import type { JobId, WorkerId } from "@balsamward/schema";
import type { Capacity } from "./_lib/Capacity.js";
import type { Allocation } from "./Allocation.js";
import type { CellWorker } from "./CellWorker.js";
import type { Topology } from "./findPlacement.js";
import type { GuaranteedGang } from "./GuaranteedGang.js";
import type { Placement } from "./Placement.js";

/** A guaranteed gang with what stands for it in the cell. */
export type GuaranteeBinding = {
    readonly gang: GuaranteedGang;
    /** Job that uses the guarantee now. */
    readonly job: JobId | undefined;
    /**
     * Place for the whole gang: held by the user, free or borrowed.
     * Absent while the healthy workers cannot hold the gang.
     */
    readonly slot: Placement | undefined;
};

/**
 * Occupancy of one cell. Changed only by the functions of this package.
 *
 * Invariant: the slots of guarantees do not overlap, and a guaranteed job lies within its own slot.
 */
export type Cell = {
    readonly topology: Topology;
    readonly workerIndex: ReadonlyMap<WorkerId, number>;
    /** For each worker, the accelerators that it has; 0 while it is unhealthy. */
    readonly healthyAccelerators: Capacity;
    /** For each worker, the accelerators that any job holds. */
    readonly heldAccelerators: Capacity;
    readonly allocations: Map<JobId, Allocation>;
    bindings: readonly GuaranteeBinding[];
};

/** Options of `createCell`. */
export type CreateCellOptions = {
    /** Gangs that customers can reclaim in the cell. */
    readonly guaranteedGangs?: readonly GuaranteedGang[];
};

/**
 * Returns an empty cell in which every worker is healthy.
 *
 * @param workers - The cell's workers.
 * @param options - Guarantees of the cell.
 * @returns The cell, its guarantees not yet bound to slots; `bindGuarantees` binds them.
 *
 * @example
 * const cell = createCell([{ id, rack: 0, accelerators: 8 }]);
 */
export function createCell(workers: readonly CellWorker[], options: CreateCellOptions = {}): Cell {
    const racks = new Map<number, number[]>();
    for (const [index, worker] of workers.entries()) {
        racks.set(worker.rack, [...racks.get(worker.rack) ?? [], index]);
    }
    return {
        topology: {
            workers,
            racks: [...racks.entries()].sort(([left], [right]) => left - right).map(([, rack]) => rack),
        },
        workerIndex: new Map(workers.map((worker, index) => [worker.id, index])),
        healthyAccelerators: Uint16Array.from(workers, worker => (1 << worker.accelerators) - 1),
        heldAccelerators: new Uint16Array(workers.length),
        allocations: new Map(),
        bindings: (options.guaranteedGangs ?? []).map(gang => ({ gang, job: undefined, slot: undefined })),
    };
}
