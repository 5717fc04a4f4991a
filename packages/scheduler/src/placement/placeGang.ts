import type { WorkerId } from "../ids.js";
import type { StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { chooseGangMembers } from "./chooseGangMembers.js";
import type { Assignment, Candidate } from "./countFittingTasks.js";
import { countFittingTasks } from "./countFittingTasks.js";
import { measureCapacityLoss } from "./measureCapacityLoss.js";
import type { RunTimeLimit } from "./RunTimeLimit.js";
import { compareBands, getSlowestBandWithin, getSpeedBand } from "./speedBands.js";

/** What a gang would use of a rack. */
type RackChoice = {
    /** A candidate for each member. */
    readonly members: readonly Candidate[];
    /** Band of the slowest member. */
    readonly band: number;
    readonly capacityLoss: number;
    /** Free accelerators of the rack's workers that have room for a member. */
    readonly freeAccelerators: number;
};

/**
 * Chooses workers for all tasks of a gang, or for none of them.
 *
 * Any gang is placed in the rack of its data if it fits there. One that requires a single rack otherwise goes to the
 * fitting rack whose slowest member would be the slowest that is fast enough, then to the one that loses the least
 * capacity for other tasks, then to the one with the fewest free accelerators; where all workers are equally fast, only
 * the free accelerators count. Workers on which a task of the gang failed are used only if the gang does not fit on the
 * other workers.
 *
 * @param step - The gang.
 * @param workers - Usable workers that match the step's service and required label.
 * @param requiresOneRack - Whether the gang must not be spread over racks.
 * @param limit - How fast the workers have to be; without a limit, their speeds do not matter.
 * @returns An assignment for each task, or `undefined` if the gang does not fit.
 */
export function placeGang(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    requiresOneRack: boolean,
    limit?: RunTimeLimit,
): readonly Assignment[] | undefined {
    const avoided = new Set(step.tasks.flatMap(task => [...task.avoidedWorkers]));
    const preferredWorkers = excludeWorkers(workers, avoided);
    return placeOnWorkers(step, preferredWorkers, requiresOneRack, limit)
        ?? (preferredWorkers.length < workers.length
            ? placeOnWorkers(step, workers, requiresOneRack, limit)
            : undefined);
}

function placeOnWorkers(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    requiresOneRack: boolean,
    limit: RunTimeLimit | undefined,
): readonly Assignment[] | undefined {
    const { spec } = step;
    const candidates = listCandidates(step, workers, limit);
    const slowestBand = getSlowestBandWithin(limit);
    const byRack = groupByRack(candidates);
    const dataRackCandidates = byRack.get(spec.dataRack);
    if (
        spec.dataRack !== "" && dataRackCandidates !== undefined
        && countSlots(dataRackCandidates) >= spec.taskCount
    ) {
        return assignMembers(step, chooseGangMembers(dataRackCandidates, spec.taskCount, slowestBand));
    }
    if (requiresOneRack) {
        const fitting = [...byRack.values()].filter(rack => countSlots(rack) >= spec.taskCount);
        const members = chooseInRacks(step, fitting, slowestBand);
        return members === undefined ? undefined : assignMembers(step, members);
    }
    return countSlots(candidates) >= spec.taskCount
        ? assignMembers(step, chooseGangMembers(candidates, spec.taskCount, slowestBand))
        : undefined;
}

function excludeWorkers(
    workers: readonly WorkerEntry[],
    excluded: ReadonlySet<WorkerId>,
): readonly WorkerEntry[] {
    return excluded.size === 0 ? workers : workers.filter(({ id }) => !excluded.has(id));
}

function listCandidates(
    { spec }: StepEntry,
    workers: readonly WorkerEntry[],
    limit: RunTimeLimit | undefined,
): readonly Candidate[] {
    const candidates: Candidate[] = [];
    for (const worker of workers) {
        const freeSlots = countFittingTasks(worker, spec, 0);
        if (freeSlots > 0) {
            candidates.push({ worker, band: getSpeedBand(worker, limit), freeSlots });
        }
    }
    return candidates;
}

/** Chooses the members of a gang in the best of the racks that have room for it; none if there is no such rack. */
function chooseInRacks(
    { spec }: StepEntry,
    racks: readonly (readonly Candidate[])[],
    slowestBand: number,
): readonly Candidate[] | undefined {
    const isEven = new Set(racks.flatMap(rack => rack.map(({ band }) => band))).size <= 1;
    const choices = racks.map((rack): RackChoice => {
        const members = chooseGangMembers(rack, spec.taskCount, slowestBand);
        const workers = members.map(({ worker }) => worker);
        return {
            members,
            band: members.reduce((slowest, { band }) => Math.max(slowest, band), Number.NEGATIVE_INFINITY),
            capacityLoss: isEven ? 0 : measureCapacityLoss(workers, spec.request?.accelerators ?? 0),
            freeAccelerators: countFreeAccelerators(rack),
        };
    });
    choices.sort((left, right) =>
        compareBands(left.band, right.band, slowestBand)
        || left.capacityLoss - right.capacityLoss
        || left.freeAccelerators - right.freeAccelerators
    );
    return choices[0]?.members;
}

function assignMembers(step: StepEntry, members: readonly Candidate[]): readonly Assignment[] {
    return step.tasks.map((task, index) => ({ task, worker: members[index]!.worker }));
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
