import type { StepEntry, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Assignment } from "./countFittingTasks.js";
import { compareFreeResources, countFittingTasks } from "./countFittingTasks.js";
import type { RunTimeLimit } from "./RunTimeLimit.js";
import { compareBands, getSlowestBandWithin, getSpeedBand } from "./speedBands.js";

/**
 * Chooses workers for tasks that are placed independently of each other.
 *
 * Workers in the rack of the step's data come first, then the slowest of those that are fast enough, then the fastest
 * of the others; equally fast workers are taken by least free resources (best fit). A task avoids workers on which it
 * failed, as long as another worker has a free slot.
 *
 * @param step - The step of the tasks.
 * @param tasks - Waiting tasks of the step.
 * @param workers - Usable workers that match the step's service and required label.
 * @param limit - How fast the workers have to be; without a limit, their speeds do not matter.
 * @returns An assignment for each task that fits.
 */
export function placeTasks(
    step: StepEntry,
    tasks: readonly TaskEntry[],
    workers: readonly WorkerEntry[],
    limit?: RunTimeLimit,
): readonly Assignment[] {
    const { spec } = step;
    const runCounts = countRunsByWorker(step);
    const slowestBand = getSlowestBandWithin(limit);
    const candidates = workers
        .map(worker => ({
            worker,
            band: getSpeedBand(worker, limit),
            freeSlots: countFittingTasks(worker, spec, runCounts.get(worker) ?? 0),
        }))
        .filter(candidate => candidate.freeSlots > 0)
        .sort((left, right) =>
            getRackRank(left.worker, spec.dataRack) - getRackRank(right.worker, spec.dataRack)
            || compareBands(left.band, right.band, slowestBand)
            || compareFreeResources(left.worker, right.worker)
        );
    const assignments: Assignment[] = [];
    for (const task of tasks) {
        const chosen = candidates.find(candidate =>
            candidate.freeSlots > 0 && !task.avoidedWorkers.has(candidate.worker.id)
        )
            ?? candidates.find(candidate =>
                candidate.freeSlots > 0
            );
        if (chosen === undefined) {
            break;
        }
        chosen.freeSlots -= 1;
        assignments.push({ task, worker: chosen.worker });
    }
    return assignments;
}

/**
 * Counts the runs of a step on each worker.
 *
 * @param step - The step.
 * @returns The number of runs by worker; empty if the step has no limit per worker, as the counts are then not needed.
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
