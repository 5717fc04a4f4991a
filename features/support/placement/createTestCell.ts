import type { CustomerId, GuaranteeId, JobId, WorkerId } from "@balsamward/schema";
import { Adjacency } from "@balsamward/schema";
import type {
    Candidate,
    Cell,
    CellWorker,
    GangShape,
    GuaranteedGang,
} from "../../../packages/placement/src/index.js";
import { bindGuarantees, createCell } from "../../../packages/placement/src/index.js";

/** Number of racks of the cell that `createTestCell` creates. */
const RACKS = 3;

/** Number of workers in a rack. */
const WORKERS_PER_RACK = 4;

/** Number of workers of the cell that `createTestCell` creates. */
export const TEST_CELL_WORKERS = RACKS * WORKERS_PER_RACK;

/**
 * Creates a cell of 12 workers with 8 accelerators each and guarantees of three customers, which are bound.
 *
 * @returns The cell, without allocations.
 */
export function createTestCell(): Cell {
    const cell = createCell(createWorkers(TEST_CELL_WORKERS, 8), {
        guaranteedGangs: [
            createGuaranteedGang("a", "wide", {
                members: 4,
                acceleratorsPerMember: 8,
                adjacency: Adjacency.RACK,
            }),
            createGuaranteedGang("b", "pair", {
                members: 2,
                acceleratorsPerMember: 4,
                adjacency: Adjacency.WORKER,
            }),
            createGuaranteedGang("c", "loose", {
                members: 3,
                acceleratorsPerMember: 4,
                adjacency: Adjacency.DATA_CENTRE,
            }),
        ],
    });
    bindGuarantees(cell);
    return cell;
}

/**
 * Creates the workers of a cell.
 *
 * @param count - Number of workers, which fill one rack after the other.
 * @param accelerators - Number of accelerators of each worker.
 * @returns The workers.
 */
export function createWorkers(count: number, accelerators: number): readonly CellWorker[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `w${index}` as WorkerId,
        rack: Math.floor(index / WORKERS_PER_RACK),
        accelerators,
    }));
}

/**
 * Creates a gang that a customer is guaranteed.
 *
 * @param customer - Id of the customer.
 * @param guarantee - Id of the guarantee.
 * @param shape - Shape of the gang.
 * @returns The gang.
 */
export function createGuaranteedGang(customer: string, guarantee: string, shape: GangShape): GuaranteedGang {
    return { customer: customer as CustomerId, guarantee: guarantee as GuaranteeId, index: 0, shape };
}

/**
 * Creates a preemptible gang to be placed.
 *
 * @param job - Id of the job.
 * @param customer - Id of the customer.
 * @param shape - Shape of the gang.
 * @param urgency - Urgency of the job; 1 is the most urgent.
 * @returns The gang.
 */
export function createCandidate(job: string, customer: string, shape: GangShape, urgency: number): Candidate {
    return { job: job as JobId, customer: customer as CustomerId, shape, urgency, preemptible: true };
}
