import type { JobId, WorkerId } from "@balsamward/schema";
import type { Capacity } from "./_lib/Capacity.js";
import type { Allocation } from "./Allocation.js";
import type { CellWorker } from "./CellWorker.js";
import type { Topology } from "./findPlacement.js";
import type { GuaranteedGang } from "./GuaranteedGang.js";
import type { Placement } from "./Placement.js";

/** Binds a guaranteed gang to a slot in the cell and to the job that uses it. */
export type GuaranteeBinding = {
    readonly gang: GuaranteedGang;
    /** Job that currently uses the guaranteed gang, if any. */
    readonly job: JobId | undefined;
    /**
     * Accelerators reserved for the whole gang. They are held by its job, free, or borrowed by other jobs.
     * `undefined` while the healthy workers cannot hold the gang.
     */
    readonly slot: Placement | undefined;
};

/**
 * Occupancy of one cell. Only the functions of this package change it.
 *
 * Invariants: the slots of guarantees do not overlap, and the placement of a guaranteed job lies within its slot.
 */
export type Cell = {
    readonly topology: Topology;
    readonly workerIndex: ReadonlyMap<WorkerId, number>;
    /** For each worker, the mask of its accelerators, or 0 while the worker is unhealthy. */
    readonly healthyAccelerators: Capacity;
    /** For each worker, the mask of the accelerators that jobs hold. */
    readonly heldAccelerators: Capacity;
    readonly allocations: Map<JobId, Allocation>;
    bindings: readonly GuaranteeBinding[];
};

/** Options of `createCell`. */
export type CreateCellOptions = {
    /** Gangs that are guaranteed to customers in the cell. */
    readonly guaranteedGangs?: readonly GuaranteedGang[];
};

/**
 * Creates an empty cell in which every worker is healthy.
 *
 * @param workers - The cell's workers.
 * @param options - The guaranteed gangs of the cell.
 * @returns The cell. Its guarantees have no slots until `bindGuarantees` is called.
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
