import { JobState } from "@balsamward/schema/scheduling";
import type { Queue } from "../FleetConfiguration.js";
import type { Assignment } from "../placement/countRoom.js";
import { placeGang } from "../placement/placeGang.js";
import { placeTasks } from "../placement/placeTasks.js";
import type { JobEntry, StepEntry, TaskEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { allowedWorkers, requestAdvice, ticketFor } from "./adviseStep.js";
import { beginDueOccurrences } from "./beginDueOccurrences.js";
import { findStragglers } from "./findStragglers.js";
import { holdFor } from "./holdFor.js";
import type { RankedJob } from "./orderJobs.js";
import { orderJobs } from "./orderJobs.js";
import { reclaimFor } from "./reclaimFor.js";
import { createRun } from "./runs.js";
import type { Scheduler } from "./Scheduler.js";
import { startRun } from "./startRun.js";

/** Runs of different terms of ownership have numbers of different thousands. */
const RUNS_PER_TERM = 1_000;

/** What a pass has found out so far. */
type Pass = {
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
 * Places what waits and fits, in the order of the jobs' ranks. A guaranteed step that waits for what
 * is being stopped, and a gang that soon has room, hold workers against those that come after them.
 *
 * @param scheduler - The scheduler.
 */
export function planPass(scheduler: Scheduler): void {
    const configuration = scheduler.configuration();
    if (configuration === undefined || !scheduler.loaded) {
        return;
    }
    for (const entry of scheduler.active) {
        beginDueOccurrences(scheduler, entry);
    }
    const workers = usableWorkers(scheduler);
    const fleet = [...scheduler.fleet.values()].filter(worker => worker.listed && !worker.draining);
    const jobs = orderJobs(scheduler, configuration, workers);
    const entitled = new Set(jobs.filter(job => job.prospect === "entitled").map(job => job.entry));
    const pass: Pass = { entitled, workers, fleet, full: new Set(), held: new Set() };
    for (const ranked of jobs) {
        if (isPlaceable(scheduler, ranked.entry)) {
            openSteps(ranked.entry).forEach(step => placeStep(scheduler, pass, ranked, step));
        }
    }
    if (pass.full.size === 0) {
        jobs.forEach(ranked => placeCopies(scheduler, pass, ranked));
    }
}

/** Copies of slow tasks take only what nothing else waits for. */
function placeCopies(scheduler: Scheduler, pass: Pass, { entry, queue }: RankedJob): void {
    for (const step of [...entry.occurrences.values()].flat()) {
        for (const task of findStragglers(scheduler, step)) {
            const fitting = pass.workers.filter(worker =>
                isSuited(worker, queue, step) && task.runs.every(run => run.worker !== worker)
            );
            const workers = queue.advice === undefined
                ? fitting
                : allowedWorkers(step, fitting, scheduler.clock());
            begin(scheduler, step, placeTasks(step, [task], workers));
        }
    }
}

/** Until every worker of earlier terms has answered, an older job may have runs that are not known. */
function isPlaceable(scheduler: Scheduler, entry: JobEntry): boolean {
    return scheduler.unreconciled.size === 0
        || entry.revision > scheduler.ownership.revision
        || scheduler.clock() >= scheduler.unknownRunsEndAt;
}

/** Steps that have waiting tasks and whose earlier steps are done. */
function openSteps(entry: JobEntry): readonly StepEntry[] {
    return [...entry.occurrences.values()].flatMap(steps =>
        steps.filter(step =>
            step.doneCount < step.tasks.length
            && step.spec.after.every(number => isDone(steps[number]))
            && step.tasks.some(task => !task.done && task.runs.length === 0)
        )
    );
}

function isDone(step: StepEntry | undefined): boolean {
    return step !== undefined && step.doneCount === step.tasks.length;
}

function placeStep(scheduler: Scheduler, pass: Pass, ranked: RankedJob, step: StepEntry): void {
    step.readyAt ??= scheduler.clock();
    const shape = shapeOf(ranked.queue, step);
    const mayReclaim = ranked.prospect === "entitled";
    if (pass.full.has(shape) && !mayReclaim && !mayHold(ranked)) {
        return;
    }
    const waiting = step.tasks.filter(task => !task.done && task.runs.length === 0);
    const fitting = pass.workers.filter(worker => isSuited(worker, ranked.queue, step));
    const { advice } = ranked.queue;
    const suited = advice === undefined
        ? fitting
        : allowedWorkers(step, fitting, scheduler.clock());
    const workers = suited.filter(worker => !pass.held.has(worker));
    const fleet = pass.fleet.filter(worker => isSuited(worker, ranked.queue, step));
    const assignments = pass.full.has(shape) ? [] : assign(step, waiting, workers, fleet);
    begin(scheduler, step, assignments);
    if (assignments.length === waiting.length) {
        return;
    }
    pass.full.add(shape);
    if (advice !== undefined) {
        requestAdvice(scheduler, advice, step, fitting);
    }
    const isWhole = !step.spec.gang || waiting.length === step.tasks.length;
    if (mayHold(ranked) && isWhole && (step.spec.gang || ranked.prospect === "starved")) {
        holdFor(scheduler, ranked, step, workers).forEach(worker => pass.held.add(worker));
    }
    if (mayReclaim && isWhole) {
        reclaimFor(scheduler, step, {
            workers,
            taskCount: waiting.length - assignments.length,
            entitled: pass.entitled,
        }).forEach(worker => pass.held.add(worker));
    }
}

/** Workers that soon have room are kept free for what would otherwise come too late, or never. */
function mayHold({ prospect }: RankedJob): boolean {
    return prospect === "on-time" || prospect === "starved";
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

/** Steps of one shape find room on the same workers. */
function shapeOf(queue: Queue, step: StepEntry): string {
    const { request, requiredLabel, gang, sameRack, taskCount, maxPerWorker, fillsIdle } = step.spec;
    return [
        queue.service,
        requiredLabel,
        request?.cpuMillis,
        request?.memoryMb,
        request?.accelerators,
        fillsIdle,
        gang ? `${sameRack}/${taskCount}` : "",
        maxPerWorker > 0 || queue.advice !== undefined
            ? `${step.job.id}/${step.occurrence}/${step.number}`
            : "",
    ].join("|");
}

function usableWorkers(scheduler: Scheduler): readonly WorkerEntry[] {
    const now = scheduler.clock();
    return [...scheduler.fleet.values()].filter(worker =>
        worker.reached
        && !worker.isSilent
        && worker.listed
        && !worker.draining
        && !worker.isCordoned
        && worker.pausedUntil <= now
        && scheduler.roster.has(worker.id)
    );
}

function isSuited(worker: WorkerEntry, queue: Queue, step: StepEntry): boolean {
    const { requiredLabel } = step.spec;
    return worker.service === queue.service
        && (requiredLabel === "" || worker.labels.includes(requiredLabel));
}

function begin(scheduler: Scheduler, step: StepEntry, assignments: readonly Assignment[]): void {
    if (assignments.length === 0) {
        return;
    }
    const lastRun = Math.max(
        scheduler.ownership.term * RUNS_PER_TERM,
        ...assignments.map(({ task }) => task.lastRun),
    );
    const entry = step.job;
    if (entry.state === JobState.QUEUED) {
        entry.state = JobState.RUNNING;
    }
    scheduler.log.info("A step is placed.", {
        job: entry.id,
        step: step.number,
        occurrence: step.occurrence,
        tasks: assignments.length,
        run: lastRun + 1,
        waitedMs: Math.round(scheduler.clock() - (step.readyAt ?? 0)),
        workers: [...new Set(assignments.map(({ worker }) => worker.id))].slice(0, 8),
    });
    for (const { task, worker } of assignments) {
        const run = createRun(task, worker, lastRun + 1, scheduler.clock(), true);
        worker.bell.ring();
        scheduler.spawn(() => startRun(scheduler, run, ticketFor(step, worker)));
    }
}
