import type { StepEntry, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Assignment } from "./countRoom.js";
import { compareTightness, countRoom } from "./countRoom.js";

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
    const present = countPresent(step);
    const rooms = workers
        .map(worker => ({ worker, tasks: countRoom(worker, spec, present.get(worker) ?? 0) }))
        .filter(room => room.tasks > 0)
        .sort((left, right) =>
            rackRank(left.worker, spec.dataRack) - rackRank(right.worker, spec.dataRack)
            || compareTightness(left.worker, right.worker)
        );
    const assignments: Assignment[] = [];
    for (const task of tasks) {
        const room = rooms.find(candidate =>
            candidate.tasks > 0 && !task.avoidedWorkers.has(candidate.worker.id)
        )
            ?? rooms.find(candidate => candidate.tasks > 0);
        if (room === undefined) {
            break;
        }
        room.tasks -= 1;
        assignments.push({ task, worker: room.worker });
    }
    return assignments;
}

/**
 * Counts the tasks of a step on each worker.
 *
 * @param step - The step.
 * @returns The number of runs by worker.
 */
export function countPresent(step: StepEntry): ReadonlyMap<WorkerEntry, number> {
    const present = new Map<WorkerEntry, number>();
    if (step.spec.maxPerWorker > 0) {
        for (const run of step.tasks.flatMap(task => task.runs)) {
            present.set(run.worker, (present.get(run.worker) ?? 0) + 1);
        }
    }
    return present;
}

function rackRank(worker: WorkerEntry, dataRack: string): number {
    return dataRack === "" || worker.rack === dataRack ? 0 : 1;
}
