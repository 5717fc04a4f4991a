import type { Resources, Step } from "@balsamward/schema/scheduling";
import type { TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";

/** A chosen worker for a task. */
export type Assignment = { readonly task: TaskEntry; readonly worker: WorkerEntry };

/** How many more tasks of a step each worker can take. */
export type Candidate = { readonly worker: WorkerEntry; readonly freeSlots: number };

/**
 * Returns how many more tasks of a step fit on a worker.
 *
 * @param worker - The worker.
 * @param step - The step.
 * @param present - Tasks of the step that the worker holds.
 * @returns The number of tasks, from 0.
 */
export function countFittingTasks(worker: WorkerEntry, step: Step, runCount: number): number {
    return countFittingTasksIn(worker.free, step, runCount);
}

/**
 * Returns how many more tasks of a step fit into free resources.
 *
 * @param free - The resources.
 * @param step - The step.
 * @param present - Tasks of the step that are on the same worker.
 * @returns The number of tasks, from 0.
 */
export function countFittingTasksIn(free: Resources, step: Step, runCount: number): number {
    const request = step.request;
    const limits = [
        step.maxPerWorker > 0 ? step.maxPerWorker - runCount : Number.POSITIVE_INFINITY,
        step.fillsIdle ? Number.POSITIVE_INFINITY : countFitting(free.cpuMillis, request?.cpuMillis ?? 0),
        countFitting(free.memoryMb, request?.memoryMb ?? 0),
        countFitting(free.accelerators, request?.accelerators ?? 0),
    ];
    return Math.max(0, Math.min(step.taskCount, ...limits));
}

function countFitting(available: number, needed: number): number {
    return needed > 0 ? Math.floor(available / needed) : available < 0 ? 0 : Number.POSITIVE_INFINITY;
}

/**
 * Orders workers so that the tightest comes first: the one with the fewest accelerators left.
 *
 * @param left - A worker.
 * @param right - Another worker.
 * @returns A negative number if the first is tighter.
 */
export function compareFreeResources(left: WorkerEntry, right: WorkerEntry): number {
    return left.free.accelerators - right.free.accelerators
        || left.free.memoryMb - right.free.memoryMb
        || left.free.cpuMillis - right.free.cpuMillis;
}
