import type { AssignTasksOptions } from "../../placement/assignTasks.js";
import type { Assignment } from "../../placement/countFittingTasks.js";
import { placeGang } from "../../placement/placeGang.js";
import { placeTasks } from "../../placement/placeTasks.js";
import type { StepEntry, TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { rankSuspectWorkers } from "../crashes/rankSuspectWorkers.js";
import { isSuspected } from "../crashes/suspicion.js";
import type { Scheduler } from "../Scheduler.js";

/** Number of crashes under a task from which on it is started only where a further crash would show something. */
const MAX_UNTELLING_CRASHES = 3;

/** Longest time for which it waits for such a machine, in milliseconds. */
const MAX_FRESH_WAIT_MS = 10_000;

/** Longest time for which a suspected task waits for a worker without runs, in milliseconds. */
const ISOLATION_WAIT_MS = 1_500;

/**
 * Chooses workers for tasks that are suspected of crashing their workers: each has a worker without runs for itself, on
 * a machine that has not crashed under it lately. A task that has waited too long for one shares the worker with the
 * fewest runs.
 *
 * @param scheduler - The scheduler.
 * @param step - The step of the tasks, not a gang.
 * @param tasks - Waiting tasks of the step that are suspected.
 * @param workers - Usable workers that match the step; none runs another suspected task in isolation.
 * @returns An assignment for each task that is placed, all to different workers.
 */
export function assignSuspects(
    scheduler: Scheduler,
    step: StepEntry,
    tasks: readonly TaskEntry[],
    workers: readonly WorkerEntry[],
): readonly Assignment[] {
    const assignments: Assignment[] = [];
    for (const task of tasks) {
        const taken = new Set(assignments.map(({ worker }) => worker));
        const free = workers.filter(worker => !taken.has(worker));
        assignments.push(...placeSuspect(scheduler, task, free, candidates => {
            for (const worker of candidates) {
                const assignment = placeTasks(step, [task], [worker])[0];
                if (assignment !== undefined) {
                    return [assignment];
                }
            }
            return undefined;
        }));
    }
    return assignments;
}

/**
 * Chooses workers for a gang that is suspected of crashing its workers, as for a single task.
 *
 * @param scheduler - The scheduler.
 * @param step - The gang.
 * @param options - The workers, of which none runs another suspected task in isolation, and what the gang needs of
 * them.
 * @returns An assignment for each member, or none; only a gang that has waited too long shares workers with others.
 */
export function assignSuspectedGang(
    scheduler: Scheduler,
    step: StepEntry,
    { workers, scope, limit }: AssignTasksOptions,
): readonly Assignment[] {
    return placeSuspect(
        scheduler,
        step.tasks[0]!,
        workers,
        candidates => placeGang(step, candidates, scope === "rack", limit),
    );
}

/** Returns assignments to some of the candidates, the first ones if possible; `undefined` if there is no room. */
type Placement = (candidates: readonly WorkerEntry[]) => readonly Assignment[] | undefined;

/**
 * Places a suspected task or gang. One that has crashed machines lately is placed on these only if no other has room,
 * and from the third crash on only after a wait, so that further starts are telling.
 */
function placeSuspect(
    scheduler: Scheduler,
    task: TaskEntry,
    workers: readonly WorkerEntry[],
    place: Placement,
): readonly Assignment[] {
    const { fresh, used } = rankSuspectWorkers(scheduler, task, workers);
    const apart = place(fresh.filter(isEmpty));
    if (apart !== undefined) {
        return apart;
    }
    const shared = place(fresh);
    const mayWait = waitsForEmptyWorker(task, scheduler.clock());
    if (shared !== undefined) {
        return mayWait ? [] : shared;
    }
    const isRecent = scheduler.clock() - task.crashedAt < MAX_FRESH_WAIT_MS;
    if (isRecent && task.crashedRuns.size >= MAX_UNTELLING_CRASHES) {
        return [];
    }
    const all = [...fresh, ...used];
    return place(mayWait ? all.filter(isEmpty) : all) ?? [];
}

function isEmpty({ runs }: WorkerEntry): boolean {
    return runs.size === 0;
}

/**
 * Returns whether a task waits for a worker without runs.
 *
 * @param task - The task.
 * @param now - Monotonic time in milliseconds.
 * @returns True if the task is suspected of crashing its workers and has not waited too long since the latest crash.
 */
export function waitsForEmptyWorker(task: TaskEntry, now: number): boolean {
    return isSuspected(task) && now - task.crashedAt <= ISOLATION_WAIT_MS;
}
