import type { StepEntry, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Assignment } from "./countFittingTasks.js";
import { compareFreeResources, countFittingTasks } from "./countFittingTasks.js";

/**
 * Chooses workers for tasks that run each by itself.
 *
 * Workers in the data's rack come first, then the tightest. A task avoids workers on which it
 * failed while another one has room.
 *
 * @param tasks - Waiting tasks of one step.
 * @param workers - Usable workers of the step's service and label.
 * @returns An assignment for each task that fits.
 */
export function placeTasks(
    step: StepEntry,
    tasks: readonly TaskEntry[],
    workers: readonly WorkerEntry[],
): readonly Assignment[] {
    const { spec } = step;
    const runCounts = countRunsByWorker(step);
    const candidates = workers
        .map(worker => ({ worker, freeSlots: countFittingTasks(worker, spec, runCounts.get(worker) ?? 0) }))
        .filter(candidate => candidate.freeSlots > 0)
        .sort((left, right) =>
            getRackRank(left.worker, spec.dataRack) - getRackRank(right.worker, spec.dataRack)
            || compareFreeResources(left.worker, right.worker)
        );
    const assignments: Assignment[] = [];
    for (const task of tasks) {
        const chosen = candidates.find(candidate =>
            candidate.freeSlots > 0 && !task.avoid.has(candidate.worker.id)
        )
            ?? candidates.find(candidate => candidate.freeSlots > 0);
        if (chosen === undefined) {
            break;
        }
        chosen.freeSlots -= 1;
        assignments.push({ task, worker: chosen.worker });
    }
    return assignments;
}

/**
 * Counts the tasks of a step on each worker.
 *
 * @param step - The step.
 * @returns The number of runs by worker.
 */
export function countRunsByWorker(step: StepEntry): ReadonlyMap<WorkerEntry, number> {
    const runCounts = new Map<WorkerEntry, number>();
    if (step.spec.maxPerWorker > 0) {
        for (const run of step.tasks.flatMap(task => task.runs)) {
            runCounts.set(run.worker, (runCounts.get(run.worker) ?? 0) + 1);
        }
    }
    return runCounts;
}

function getRackRank(worker: WorkerEntry, dataRack: string): number {
    return dataRack === "" || worker.rack === dataRack ? 0 : 1;
}
