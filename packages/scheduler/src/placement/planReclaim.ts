import type { Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { applyTaskRequest } from "./applyTaskRequest.js";
import { countFittingTasks, countFittingTasksIn } from "./countFittingTasks.js";
import { countRunsByWorker } from "./placeTasks.js";

/** Plan for making room for a step: the workers to use and the runs that have to end there first. */
export type ReclaimPlan = {
    readonly workers: readonly WorkerEntry[];
    /** Runs that have to end, without those that are already being stopped. */
    readonly victims: readonly Run[];
    /** Sum of the costs of the victims, in the unit of `PlanReclaimOptions.costOf`. */
    readonly cost: number;
};

/** Options of `planReclaim`. */
export type PlanReclaimOptions = {
    /**
     * Returns the cost of ending a run, or of waiting for its end; `undefined` if the run must be kept.
     *
     * The unit is the caller's choice, for example lost work in core-milliseconds.
     */
    readonly costOf: (run: Run) => number | undefined;
    /** Number of tasks of the step to make room for. */
    readonly taskCount: number;
};

/** Further slots for a step on a worker, and the runs that have to end for them. */
type CapacityIncrement = {
    readonly worker: WorkerEntry;
    readonly addedSlots: number;
    readonly victims: readonly Run[];
    readonly cost: number;
};

type StoppableRun = { readonly run: Run; readonly cost: number };

/**
 * Plans which runs have to end so that tasks of a step fit.
 *
 * The resources of runs that are already being stopped cost nothing, so that repeated planning keeps to an earlier
 * plan. A gang that runs slower across racks is planned within one rack, preferably that of its data, and across
 * racks only if it fits in none. The search is greedy: the plan is not always the cheapest one possible.
 *
 * @param step - The step.
 * @param workers - Usable workers that match the step's service and required label.
 * @param options - The cost of each run, and the number of tasks.
 * @returns The cheapest plan found, or `undefined` if the tasks do not fit.
 */
export function planReclaim(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    options: PlanReclaimOptions,
): ReclaimPlan | undefined {
    const runCounts = countRunsByWorker(step);
    const increments: CapacityIncrement[] = [];
    for (const worker of workers) {
        increments.push(...listIncrements(step, worker, runCounts.get(worker) ?? 0, options));
    }
    const { gang, sameRack, dataRack } = step.spec;
    if (!gang || !sameRack) {
        return chooseIncrements(increments, options.taskCount);
    }
    const racks = groupByRack(increments);
    const plans = [...racks].flatMap(([rack, rackIncrements]) => {
        const plan = chooseIncrements(rackIncrements, options.taskCount);
        return plan === undefined ? [] : [{ plan, isDataRack: rack === dataRack }];
    });
    plans.sort((left, right) =>
        Number(right.isDataRack) - Number(left.isDataRack) || left.plan.cost - right.plan.cost
    );
    return plans[0]?.plan ?? (racks.size > 1 ? chooseIncrements(increments, options.taskCount) : undefined);
}

function groupByRack(
    increments: readonly CapacityIncrement[],
): ReadonlyMap<string, readonly CapacityIncrement[]> {
    const racks = new Map<string, CapacityIncrement[]>();
    for (const increment of increments) {
        const { rack } = increment.worker;
        const rackIncrements = racks.get(rack) ?? [];
        rackIncrements.push(increment);
        racks.set(rack, rackIncrements);
    }
    return racks;
}

/** Lists the increments by which the capacity of a worker grows while its runs end, the cheapest run first. */
function listIncrements(
    step: StepEntry,
    worker: WorkerEntry,
    runCount: number,
    { costOf }: PlanReclaimOptions,
): readonly CapacityIncrement[] {
    const stoppable: StoppableRun[] = [];
    const stopping: Run[] = [];
    for (const run of worker.runs) {
        const cost = run.phase === "stopping" ? undefined : costOf(run);
        if (cost !== undefined) {
            stoppable.push({ run, cost });
        }
        else if (run.phase === "stopping") {
            stopping.push(run);
        }
    }
    if (stoppable.length + stopping.length === 0 && countFittingTasks(worker, step.spec, runCount) === 0) {
        return [];
    }
    const { cpuMillis, memoryMb, accelerators } = worker.free;
    const free = { cpuMillis, memoryMb, accelerators };
    stopping.forEach(run => applyTaskRequest(free, run.task.step.spec, 1));
    stoppable.sort((left, right) => left.cost - right.cost);
    const increments: CapacityIncrement[] = [];
    let slots = countFittingTasksIn(free, step.spec, runCount);
    if (slots > 0) {
        increments.push({ worker, addedSlots: slots, victims: [], cost: 0 });
    }
    let victims: Run[] = [];
    let cost = 0;
    for (const { run, cost: runCost } of stoppable) {
        applyTaskRequest(free, run.task.step.spec, 1);
        victims.push(run);
        cost += runCost;
        const newSlots = countFittingTasksIn(free, step.spec, runCount);
        if (newSlots > slots) {
            increments.push({ worker, addedSlots: newSlots - slots, victims, cost });
            slots = newSlots;
            victims = [];
            cost = 0;
        }
    }
    return increments;
}

/**
 * Chooses increments by ascending cost per slot until all tasks fit.
 *
 * Each increment of a worker presupposes the ones before it, so they are taken in their order.
 *
 * @param increments - The increments, those of one worker in their order.
 */
function chooseIncrements(
    increments: readonly CapacityIncrement[],
    taskCount: number,
): ReclaimPlan | undefined {
    const totalSlots = increments.reduce((sum, increment) => sum + increment.addedSlots, 0);
    if (totalSlots < taskCount) {
        return undefined;
    }
    const remainingByWorker = groupByWorker(increments);
    const candidates = [...increments].sort((left, right) =>
        left.cost / left.addedSlots - right.cost / right.addedSlots
    );
    const chosen: CapacityIncrement[] = [];
    let slots = 0;
    while (slots < taskCount) {
        const index = candidates.findIndex(increment =>
            remainingByWorker.get(increment.worker)?.[0] === increment
        );
        const [next] = candidates.splice(index, 1);
        if (index < 0 || next === undefined) {
            return undefined;
        }
        remainingByWorker.get(next.worker)!.shift();
        chosen.push(next);
        slots += next.addedSlots;
    }
    return {
        workers: [...new Set(chosen.map(increment => increment.worker))],
        victims: chosen.flatMap(increment => increment.victims),
        cost: chosen.reduce((sum, increment) => sum + increment.cost, 0),
    };
}

function groupByWorker(
    increments: readonly CapacityIncrement[],
): ReadonlyMap<WorkerEntry, CapacityIncrement[]> {
    const byWorker = new Map<WorkerEntry, CapacityIncrement[]>();
    for (const increment of increments) {
        const ofWorker = byWorker.get(increment.worker);
        if (ofWorker === undefined) {
            byWorker.set(increment.worker, [increment]);
        }
        else {
            ofWorker.push(increment);
        }
    }
    return byWorker;
}
