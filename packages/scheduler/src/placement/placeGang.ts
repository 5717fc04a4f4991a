import type { StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Assignment, Room } from "./countRoom.js";
import { compareTightness, countRoom } from "./countRoom.js";

/**
 * Chooses workers for all tasks of a gang, or for none.
 *
 * A gang whose tasks are slower when spread is placed in one rack: the data's rack if it fits there,
 * otherwise the rack with the fewest accelerators free. It is spread only if no rack could hold it
 * when empty. Workers on which a member failed are used only if the others have no room.
 *
 * @param step - The gang.
 * @param workers - Usable workers of the step's service and label.
 * @param fleet - All such workers, also those that are not usable now.
 * @returns An assignment for each task, or `undefined` if the gang does not fit.
 */
export function placeGang(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    fleet: readonly WorkerEntry[],
): readonly Assignment[] | undefined {
    const others = workers.filter(worker => !step.tasks.some(task => task.avoidedWorkers.has(worker.id)));
    const mayWaitForRack = step.spec.sameRack && fitsSomeRack(step, fleet);
    return placeOn(step, others, mayWaitForRack)
        ?? (others.length < workers.length ? placeOn(step, workers, mayWaitForRack) : undefined);
}

function placeOn(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    needsRack: boolean,
): readonly Assignment[] | undefined {
    const { spec } = step;
    const rooms = workers
        .map(worker => ({ worker, tasks: countRoom(worker, spec, 0) }))
        .filter(room => room.tasks > 0);
    const byRack = groupByRack(rooms);
    const local = byRack.get(spec.dataRack);
    if (spec.dataRack !== "" && local !== undefined && countTasks(local) >= spec.taskCount) {
        return fill(step, local);
    }
    if (needsRack) {
        const fitting = [...byRack.values()]
            .filter(rack => countTasks(rack) >= spec.taskCount)
            .sort((left, right) => countFree(left) - countFree(right));
        return fitting[0] === undefined ? undefined : fill(step, fitting[0]);
    }
    return countTasks(rooms) >= spec.taskCount ? fill(step, rooms) : undefined;
}

function fill(step: StepEntry, rooms: readonly Room[]): readonly Assignment[] {
    const places = [...rooms]
        .sort((left, right) => compareTightness(left.worker, right.worker))
        .flatMap(room => Array.from({ length: room.tasks }, () => room.worker));
    return step.tasks.map((task, index) => ({ task, worker: places[index]! }));
}

function groupByRack(rooms: readonly Room[]): ReadonlyMap<string, readonly Room[]> {
    const racks = new Map<string, Room[]>();
    for (const room of rooms) {
        const rack = racks.get(room.worker.rack) ?? [];
        rack.push(room);
        racks.set(room.worker.rack, rack);
    }
    return racks;
}

function countTasks(rooms: readonly Room[]): number {
    return rooms.reduce((sum, room) => sum + room.tasks, 0);
}

function countFree(rooms: readonly Room[]): number {
    return rooms.reduce((sum, room) => sum + room.worker.free.accelerators, 0);
}

/** Whether some rack could hold the gang if nothing else ran there. */
function fitsSomeRack(step: StepEntry, workers: readonly WorkerEntry[]): boolean {
    const racks = new Map<string, number>();
    for (const worker of workers) {
        const empty = { ...worker, free: worker.capacity };
        racks.set(worker.rack, (racks.get(worker.rack) ?? 0) + countRoom(empty, step.spec, 0));
    }
    return [...racks.values()].some(room => room >= step.spec.taskCount);
}
