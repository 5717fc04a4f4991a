import type { Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { applyTaskRequest } from "./applyTaskRequest.js";
import { countFittingTasksIn } from "./countFittingTasks.js";
import { countRunsByWorker } from "./placeTasks.js";

/** Workers that are to be freed for a step, and the runs that have to stop for it. */
export type ReclaimPlan = {
    readonly workers: readonly WorkerEntry[];
    /** Runs to stop; those that are being stopped already are not among them. */
    readonly victims: readonly Run[];
    /** Work that is lost, in core-milliseconds. */
    readonly cost: number;
};

/** What a reclaim is planned with. */
export type PlanReclaimOptions = {
    /** Returns the work that is lost if a run stops, in core-milliseconds; `undefined` if it may not stop. */
    readonly costOf: (run: Run) => number | undefined;
    /** Tasks of the step that have no run. */
    readonly taskCount: number;
};

type CapacityIncrement = {
    readonly worker: WorkerEntry;
    readonly addedSlots: number;
    readonly victims: readonly Run[];
    readonly cost: number;
};

/**
 * Plans which runs to stop so that the waiting tasks of a step fit.
 *
 * Capacity of runs that are being stopped costs nothing, so that a plan made before is kept.
 *
 * @param step - The step.
 * @param workers - Usable workers of its service and label.
 * @param options - Costs and number of tasks.
 * @returns The cheapest plan found, or `undefined` if the step does not fit.
 */
export function planReclaim(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    options: PlanReclaimOptions,
): ReclaimPlan | undefined {
    const runCounts = countRunsByWorker(step);
    const increments = workers.flatMap(worker =>
        listIncrements(step, worker, runCounts.get(worker) ?? 0, options)
    );
    const { gang, sameRack, dataRack } = step.spec;
    if (!gang || !sameRack) {
        return chooseIncrements(increments, options.taskCount);
    }
    const racks = new Set(workers.map(worker => worker.rack));
    const plans = [...racks].flatMap(rack => {
        const plan = chooseIncrements(
            increments.filter(increment => increment.worker.rack === rack),
            options.taskCount,
        );
        return plan === undefined ? [] : [{ plan, isDataRack: rack === dataRack }];
    });
    plans.sort((left, right) =>
        Number(right.isDataRack) - Number(left.isDataRack) || left.plan.cost - right.plan.cost
    );
    return plans[0]?.plan ?? (racks.size > 1 ? chooseIncrements(increments, options.taskCount) : undefined);
}

/** One offer for each further task that a worker can take, with what has to stop for it. */
function listIncrements(
    step: StepEntry,
    worker: WorkerEntry,
    runCount: number,
    { costOf }: PlanReclaimOptions,
): readonly CapacityIncrement[] {
    const free = { ...worker.free };
    const stoppable: { run: Run; cost: number }[] = [];
    for (const run of worker.runs) {
        if (run.phase === "stopping") {
            applyTaskRequest(free, run.task.step.spec, 1);
            continue;
        }
        const cost = costOf(run);
        if (cost !== undefined) {
            stoppable.push({ run, cost });
        }
    }
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

/** Offers of one worker build on each other, and each costs more than the one before. */
function chooseIncrements(
    increments: readonly CapacityIncrement[],
    taskCount: number,
): ReclaimPlan | undefined {
    const byCostPerSlot = [...increments].sort((left, right) =>
        left.cost / left.addedSlots - right.cost / right.addedSlots
    );
    const chosen: CapacityIncrement[] = [];
    let slots = 0;
    const remainingByWorker = new Map<WorkerEntry, CapacityIncrement[]>();
    for (const increment of increments) {
        remainingByWorker.set(increment.worker, [
            ...remainingByWorker.get(increment.worker) ?? [],
            increment,
        ]);
    }
    while (slots < taskCount) {
        const next = byCostPerSlot.find(increment =>
            remainingByWorker.get(increment.worker)?.[0] === increment
        );
        if (next === undefined) {
            return undefined;
        }
        remainingByWorker.get(next.worker)!.shift();
        byCostPerSlot.splice(byCostPerSlot.indexOf(next), 1);
        chosen.push(next);
        slots += next.addedSlots;
    }
    return {
        workers: [...new Set(chosen.map(increment => increment.worker))],
        victims: chosen.flatMap(increment => increment.victims),
        cost: chosen.reduce((sum, increment) => sum + increment.cost, 0),
    };
}
