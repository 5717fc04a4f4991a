import type { WorkerEntry } from "../state/WorkerEntry.js";

/** Numbers of accelerators that tasks request. */
const SHAPES: readonly number[] = [1, 2, 4, 8];

/**
 * Measures how much of the capacity for further tasks is lost if a step uses workers. For each shape of a request, the
 * accelerators that tasks of this shape can use are counted; so a whole free worker counts more than the same number of
 * accelerators in pieces.
 *
 * @param workers - The worker of each task; one with several tasks is included as often.
 * @param acceleratorsPerTask - The number of accelerators that each task uses.
 * @returns The loss in accelerators, summed over all shapes.
 */
export function measureCapacityLoss(workers: readonly WorkerEntry[], acceleratorsPerTask: number): number {
    const used = new Map<WorkerEntry, number>();
    for (const worker of workers) {
        used.set(worker, (used.get(worker) ?? 0) + acceleratorsPerTask);
    }
    let loss = 0;
    for (const [{ free }, accelerators] of used) {
        loss += sumUsable(free.accelerators) - sumUsable(free.accelerators - accelerators);
    }
    return loss;
}

function sumUsable(free: number): number {
    return SHAPES.reduce((sum, shape) => sum + Math.floor(free / shape) * shape, 0);
}
