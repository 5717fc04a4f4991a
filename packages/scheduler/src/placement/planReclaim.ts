import type { Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { addRequest } from "./addRequest.js";
import { countRoomIn } from "./countRoom.js";
import { countPresent } from "./placeTasks.js";

/** Workers that are to be freed for a step, and the runs that have to stop for it. */
export type Reclaim = {
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

type Offer = {
    readonly worker: WorkerEntry;
    readonly tasks: number;
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
): Reclaim | undefined {
    const present = countPresent(step);
    const offers = workers.flatMap(worker => offersOf(step, worker, present.get(worker) ?? 0, options));
    const { gang, sameRack, dataRack } = step.spec;
    if (!gang || !sameRack) {
        return choose(offers, options.taskCount);
    }
    const racks = new Set(workers.map(worker => worker.rack));
    const plans = [...racks].flatMap(rack => {
        const plan = choose(offers.filter(offer => offer.worker.rack === rack), options.taskCount);
        return plan === undefined ? [] : [{ plan, isLocal: rack === dataRack }];
    });
    plans.sort((left, right) =>
        Number(right.isLocal) - Number(left.isLocal) || left.plan.cost - right.plan.cost
    );
    return plans[0]?.plan ?? (racks.size > 1 ? choose(offers, options.taskCount) : undefined);
}

/** One offer for each further task that a worker can take, with what has to stop for it. */
function offersOf(
    step: StepEntry,
    worker: WorkerEntry,
    present: number,
    { costOf }: PlanReclaimOptions,
): readonly Offer[] {
    const free = { ...worker.free };
    const movable: { run: Run; cost: number }[] = [];
    for (const run of worker.runs) {
        if (run.phase === "stopping") {
            addRequest(free, run.task.step.spec, 1);
            continue;
        }
        const cost = costOf(run);
        if (cost !== undefined) {
            movable.push({ run, cost });
        }
    }
    movable.sort((left, right) => left.cost - right.cost);
    const offers: Offer[] = [];
    let room = countRoomIn(free, step.spec, present);
    if (room > 0) {
        offers.push({ worker, tasks: room, victims: [], cost: 0 });
    }
    let victims: Run[] = [];
    let cost = 0;
    for (const { run, cost: runCost } of movable) {
        addRequest(free, run.task.step.spec, 1);
        victims.push(run);
        cost += runCost;
        const roomNow = countRoomIn(free, step.spec, present);
        if (roomNow > room) {
            offers.push({ worker, tasks: roomNow - room, victims, cost });
            room = roomNow;
            victims = [];
            cost = 0;
        }
    }
    return offers;
}

/** Offers of one worker build on each other, and each costs more than the one before. */
function choose(offers: readonly Offer[], taskCount: number): Reclaim | undefined {
    const sorted = [...offers].sort((left, right) => left.cost / left.tasks - right.cost / right.tasks);
    const taken: Offer[] = [];
    let tasks = 0;
    const open = new Map<WorkerEntry, Offer[]>();
    for (const offer of offers) {
        open.set(offer.worker, [...open.get(offer.worker) ?? [], offer]);
    }
    while (tasks < taskCount) {
        const next = sorted.find(offer => open.get(offer.worker)?.[0] === offer);
        if (next === undefined) {
            return undefined;
        }
        open.get(next.worker)!.shift();
        sorted.splice(sorted.indexOf(next), 1);
        taken.push(next);
        tasks += next.tasks;
    }
    return {
        workers: [...new Set(taken.map(offer => offer.worker))],
        victims: taken.flatMap(offer => offer.victims),
        cost: taken.reduce((sum, offer) => sum + offer.cost, 0),
    };
}
