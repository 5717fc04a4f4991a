import type { Step } from "@balsamward/schema/scheduling";
import type { TaskEntry } from "../state/JobEntry.js";
import type { ResourceAmounts } from "../state/ResourceAmounts.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/** A task and the worker chosen for it. */
export type Assignment = { readonly task: TaskEntry; readonly worker: WorkerEntry };

/** A worker with the number of further tasks of a step that fit on it. */
export type Candidate = {
    readonly worker: WorkerEntry;
    /** Band of its expected relative run time, as `getSpeedBand` returns it. */
    readonly band: number;
    readonly freeSlots: number;
};

/**
 * Returns how many further tasks of a step fit on a worker.
 *
 * @param worker - The worker.
 * @param step - The step.
 * @param runCount - Runs of the step on the worker, which count towards the step's limit per worker.
 * @returns The number of tasks, between 0 and the step's number of tasks.
 */
export function countFittingTasks(worker: WorkerEntry, step: Step, runCount: number): number {
    return countFittingTasksIn(worker.free, step, runCount);
}

/**
 * Returns how many further tasks of a step fit into free resources.
 *
 * @param free - The free resources.
 * @param step - The step.
 * @param runCount - Runs of the step on the same worker, which count towards the step's limit per worker.
 * @returns The number of tasks, between 0 and the step's number of tasks.
 */
export function countFittingTasksIn(free: ResourceAmounts, step: Step, runCount: number): number {
    const request = step.request;
    return Math.max(
        0,
        Math.min(
            step.taskCount,
            step.maxPerWorker > 0 ? step.maxPerWorker - runCount : Number.POSITIVE_INFINITY,
            step.fillsIdle ? Number.POSITIVE_INFINITY : countFitting(free.cpuMillis, request?.cpuMillis ?? 0),
            countFitting(free.memoryMb, request?.memoryMb ?? 0),
            countFitting(free.accelerators, request?.accelerators ?? 0),
        ),
    );
}

function countFitting(available: number, needed: number): number {
    return needed > 0 ? Math.floor(available / needed) : available < 0 ? 0 : Number.POSITIVE_INFINITY;
}

/**
 * Compares two workers for a best-fit order: by free accelerators, then free memory, then free CPU, ascending.
 *
 * @param left - The first worker.
 * @param right - The second worker.
 * @returns A negative number if the first worker has less free.
 */
export function compareFreeResources(left: WorkerEntry, right: WorkerEntry): number {
    return left.free.accelerators - right.free.accelerators
        || left.free.memoryMb - right.free.memoryMb
        || left.free.cpuMillis - right.free.cpuMillis;
}
