import { JobState } from "@balsamward/schema/scheduling";
import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { Assignment } from "../placement/Candidates.js";
import { placeGang } from "../placement/placeGang.js";
import { placeTasks } from "../placement/placeTasks.js";
import type { JobEntry, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { orderJobs } from "./orderJobs.js";
import { createRun } from "./runs.js";
import type { Scheduler } from "./Scheduler.js";
import { startRun } from "./startRun.js";
import { beginDueOccurrences } from "./beginDueOccurrences.js";

/** Runs of different terms of ownership have numbers of different thousands. */
const RUNS_PER_TERM = 1_000;

/** Shapes of steps that found no room in this pass. */
type FullShapes = Set<string>;

/**
 * Places what waits and fits, the most urgent first.
 *
 * @param scheduler - The scheduler.
 */
export function planPass(scheduler: Scheduler): void {
    const configuration = scheduler.configuration();
    if (configuration === undefined || !scheduler.loaded) {
        return;
    }
    const queues = new Map(configuration.queues.map(queue => [queue.name, queue]));
    const full: FullShapes = new Set();
    for (const entry of scheduler.active) {
        beginDueOccurrences(scheduler, entry);
    }
    for (const { entry, queue } of orderJobs(scheduler, queues)) {
        if (isPlaceable(scheduler, entry)) {
            openSteps(entry).forEach(step => placeStep(scheduler, configuration, queue, step, full));
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

function placeStep(
    scheduler: Scheduler,
    configuration: FleetConfiguration,
    queue: Queue,
    step: StepEntry,
    full: FullShapes,
): void {
    step.readyAt ??= scheduler.clock();
    const shape = shapeOf(queue, step);
    if (full.has(shape)) {
        return;
    }
    const workers = usableWorkers(scheduler, queue, step);
    const waiting = step.tasks.filter(task => !task.done && task.runs.length === 0);
    const assignments = step.spec.gang
        ? waiting.length === step.tasks.length ? placeGang(step, workers) : []
        : placeTasks(step, waiting, workers);
    if (assignments === undefined || assignments.length < waiting.length) {
        full.add(shape);
    }
    begin(scheduler, step, assignments ?? []);
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
        maxPerWorker > 0 ? `${step.job.id}/${step.occurrence}/${step.number}` : "",
    ].join("|");
}

function usableWorkers(scheduler: Scheduler, queue: Queue, step: StepEntry): readonly WorkerEntry[] {
    const now = scheduler.clock();
    const { requiredLabel } = step.spec;
    return [...scheduler.fleet.values()].filter(worker =>
        worker.service === queue.service
        && worker.reached
        && worker.listed
        && !worker.draining
        && worker.pausedUntil <= now
        && scheduler.roster.has(worker.id)
        && (requiredLabel === "" || worker.labels.includes(requiredLabel))
    );
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
        const run = createRun(task, worker, lastRun + 1, scheduler.clock());
        worker.bell.ring();
        scheduler.spawn(() => startRun(scheduler, run, ""));
    }
}
