import { countCapacity, freeCapacity } from "./_lib/capacities.js";
import { countBits } from "./_lib/countBits.js";
import type { Cell } from "./Cell.js";

/** Free accelerators of a cell and their fragmentation. */
export type Fragmentation = {
    readonly freeAccelerators: number;
    /** Number of accelerators on completely free workers in the rack that has the most of them. */
    readonly largestGang: number;
    /**
     * 1 - `largestGang` / min(`freeAccelerators`, accelerators of the largest rack).
     * Ranges from 0, the best value, to 1; is 0 if no accelerators are free.
     */
    readonly index: number;
};

/**
 * Measures the fragmentation of the free accelerators of a cell.
 *
 * @param cell - The cell.
 * @returns The free accelerators, the largest gang of whole workers in one rack, and the index from 0 to 1.
 *
 * @example
 * measureFragmentation(cell).index; // 0 in an empty cell
 */
export function measureFragmentation(cell: Cell): Fragmentation {
    const free = freeCapacity(cell);
    const freeAccelerators = countCapacity(free);
    let largestGang = 0;
    let largestRack = 0;
    for (const rack of cell.topology.racks) {
        const sizes = rack.map(index => cell.topology.workers[index]!.accelerators);
        const fullyFree = rack.map((index, position) =>
            countBits(free[index]!) === sizes[position]! ? sizes[position]! : 0
        );
        largestGang = Math.max(largestGang, fullyFree.reduce((sum, size) => sum + size, 0));
        largestRack = Math.max(largestRack, sizes.reduce((sum, size) => sum + size, 0));
    }
    const largestPossible = Math.min(freeAccelerators, largestRack);
    return {
        freeAccelerators,
        largestGang,
        index: largestPossible === 0 ? 0 : 1 - largestGang / largestPossible,
    };
}
