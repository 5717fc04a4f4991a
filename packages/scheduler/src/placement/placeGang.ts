import type { WorkerId } from "../ids.js";
import type { StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Assignment, Candidate } from "./countFittingTasks.js";
import { compareFreeResources, countFittingTasks } from "./countFittingTasks.js";

/**
 * Chooses workers for all tasks of a gang, or for none of them.
 *
 * Any gang is placed in the rack of its data if it fits there. One that requires a single rack otherwise goes to the
 * fitting rack with the fewest free accelerators. Workers on which a task of the gang failed are used only if the gang
 * does not fit on the other workers.
 *
 * @param step - The gang.
 * @param workers - Usable workers that match the step's service and required label.
 * @param requiresOneRack - Whether the gang must not be spread over racks.
 * @returns An assignment for each task, or `undefined` if the gang does not fit.
 */
export function placeGang(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    requiresOneRack: boolean,
): readonly Assignment[] | undefined {
    const avoided = new Set(step.tasks.flatMap(task => [...task.avoidedWorkers]));
    const preferredWorkers = excludeWorkers(workers, avoided);
    return placeOnWorkers(step, preferredWorkers, requiresOneRack)
        ?? (preferredWorkers.length < workers.length
            ? placeOnWorkers(step, workers, requiresOneRack)
            : undefined);
}

function placeOnWorkers(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    requiresOneRack: boolean,
): readonly Assignment[] | undefined {
    const { spec } = step;
    const candidates: Candidate[] = [];
    for (const worker of workers) {
        const freeSlots = countFittingTasks(worker, spec, 0);
        if (freeSlots > 0) {
            candidates.push({ worker, freeSlots });
        }
    }
    const byRack = groupByRack(candidates);
    const dataRackCandidates = byRack.get(spec.dataRack);
    if (
        spec.dataRack !== "" && dataRackCandidates !== undefined
        && countSlots(dataRackCandidates) >= spec.taskCount
    ) {
        return assignTasks(step, dataRackCandidates);
    }
    if (requiresOneRack) {
        const fitting = [...byRack.values()]
            .filter(rack => countSlots(rack) >= spec.taskCount)
            .sort((left, right) => countFreeAccelerators(left) - countFreeAccelerators(right));
        return fitting[0] === undefined ? undefined : assignTasks(step, fitting[0]);
    }
    return countSlots(candidates) >= spec.taskCount ? assignTasks(step, candidates) : undefined;
}

function excludeWorkers(
    workers: readonly WorkerEntry[],
    excluded: ReadonlySet<WorkerId>,
): readonly WorkerEntry[] {
    return excluded.size === 0 ? workers : workers.filter(({ id }) => !excluded.has(id));
}

function assignTasks(step: StepEntry, candidates: readonly Candidate[]): readonly Assignment[] {
    const slots = [...candidates]
        .sort((left, right) => compareFreeResources(left.worker, right.worker))
        .flatMap(candidate => Array.from({ length: candidate.freeSlots }, () => candidate.worker));
    return step.tasks.map((task, index) => ({ task, worker: slots[index]! }));
}

function groupByRack(candidates: readonly Candidate[]): ReadonlyMap<string, readonly Candidate[]> {
    const racks = new Map<string, Candidate[]>();
    for (const candidate of candidates) {
        const rack = racks.get(candidate.worker.rack) ?? [];
        rack.push(candidate);
        racks.set(candidate.worker.rack, rack);
    }
    return racks;
}

function countSlots(candidates: readonly Candidate[]): number {
    return candidates.reduce((sum, candidate) => sum + candidate.freeSlots, 0);
}

function countFreeAccelerators(candidates: readonly Candidate[]): number {
    return candidates.reduce((sum, candidate) => sum + candidate.worker.free.accelerators, 0);
}
