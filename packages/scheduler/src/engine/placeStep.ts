import type { Assignment } from "../placement/countFittingTasks.js";
import { placeGang } from "../placement/placeGang.js";
import { placeTasks } from "../placement/placeTasks.js";
import type { JobEntry, StepEntry, TaskEntry } from "../state/JobEntry.js";
import { listWaitingTasks } from "../state/listWaitingTasks.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { allowedWorkers, requestAdvice } from "./adviseStep.js";
import { beginRuns } from "./beginRuns.js";
import { describeShape } from "./describeShape.js";
import { holdFor } from "./holdFor.js";
import { isSuited } from "./isSuited.js";
import type { RankedJob } from "./orderJobs.js";
import { reclaimFor } from "./reclaimFor.js";
import type { Scheduler } from "./Scheduler.js";

/** What a pass has found out so far. */
export type Pass = {
    /** Jobs within their customers' guarantees. */
    readonly entitled: ReadonlySet<JobEntry>;
    /** Workers that may get starts now. */
    readonly workers: readonly WorkerEntry[];
    /** Workers that may get starts now or later. */
    readonly fleet: readonly WorkerEntry[];
    /** Shapes of steps that found no room. */
    readonly full: Set<string>;
    /** Workers that are kept free for a step that waits for them. */
    readonly held: Set<WorkerEntry>;
};

/**
 * Places the waiting tasks of a step as far as they fit. A guaranteed step that does not fit reclaims
 * workers; one that is on time or starved keeps workers free that soon have room.
 *
 * @param scheduler - The scheduler.
 * @param pass - The pass, which notes full shapes and held workers.
 * @param ranked - The step's job.
 * @param step - The step, whose earlier steps are done.
 */
export function placeStep(scheduler: Scheduler, pass: Pass, ranked: RankedJob, step: StepEntry): void {
    step.readyAt ??= scheduler.clock();
    const shape = describeShape(ranked.queue, step);
    if (pass.full.has(shape) && !mayHold(ranked)) {
        return;
    }
    const waiting = listWaitingTasks(step);
    const fitting = pass.workers.filter(worker => isSuited(worker, ranked.queue, step));
    const { advice } = ranked.queue;
    const workers = allowedWorkers(advice, step, fitting, scheduler.clock())
        .filter(worker => !pass.held.has(worker));
    const fleet = pass.fleet.filter(worker => isSuited(worker, ranked.queue, step));
    const assignments = pass.full.has(shape) ? [] : assign(step, waiting, workers, fleet);
    beginRuns(scheduler, step, assignments);
    if (assignments.length === waiting.length) {
        step.isReservingWorkers = false;
        return;
    }
    pass.full.add(shape);
    if (advice !== undefined) {
        requestAdvice(scheduler, advice, step, fitting);
    }
    if (!step.spec.gang || waiting.length === step.tasks.length) {
        const taskCount = waiting.length - assignments.length;
        const held = chooseHeld(scheduler, pass, ranked, { step, workers, taskCount });
        held.forEach(worker => pass.held.add(worker));
        noteHeld(scheduler, ranked, step, held);
    }
}

/** One line tells of a wait; the workers may change from pass to pass. */
function noteHeld(
    scheduler: Scheduler,
    { prospect }: RankedJob,
    step: StepEntry,
    held: readonly WorkerEntry[],
): void {
    if (held.length > 0 && !step.isReservingWorkers) {
        scheduler.log.info("Workers are kept free for a step.", {
            job: step.job.id,
            step: step.number,
            occurrence: step.occurrence,
            prospect,
            workers: held.length,
        });
    }
    step.isReservingWorkers = held.length > 0;
}

/** What found no room, and the workers that could have it. */
type Unplaced = {
    readonly step: StepEntry;
    readonly workers: readonly WorkerEntry[];
    readonly taskCount: number;
};

function chooseHeld(
    scheduler: Scheduler,
    { entitled }: Pass,
    ranked: RankedJob,
    { step, workers, taskCount }: Unplaced,
): readonly WorkerEntry[] {
    switch (ranked.prospect) {
        case "entitled":
            return reclaimFor(scheduler, step, { workers, taskCount, entitled });
        case "starved":
            return holdFor(scheduler, ranked, step, workers);
        case "on-time":
            return step.spec.gang ? holdFor(scheduler, ranked, step, workers) : [];
        case "late":
        case "too-late":
            return [];
    }
}

/** What comes too late anyway keeps no workers free. */
function mayHold({ prospect }: RankedJob): boolean {
    return prospect !== "late" && prospect !== "too-late";
}

function assign(
    step: StepEntry,
    waiting: readonly TaskEntry[],
    workers: readonly WorkerEntry[],
    fleet: readonly WorkerEntry[],
): readonly Assignment[] {
    if (!step.spec.gang) {
        return placeTasks(step, waiting, workers);
    }
    return waiting.length === step.tasks.length ? placeGang(step, workers, fleet) ?? [] : [];
}
