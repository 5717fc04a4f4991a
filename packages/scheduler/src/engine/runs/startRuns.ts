import { JobState } from "@balsamward/schema/scheduling";
import type { Assignment } from "../../placement/countFittingTasks.js";
import type { StepEntry } from "../../state/JobEntry.js";
import { findTicket } from "../passes/stepAdvice.js";
import type { Scheduler } from "../Scheduler.js";
import { createRun } from "./runs.js";
import { startRun } from "./startRun.js";

/** Run numbers that a term of ownership has for itself, so that those of a new owner are higher than earlier ones. */
const RUN_NUMBERS_PER_TERM = 1_000;

/**
 * Creates runs of tasks on their assigned workers, all with the same run number, and orders their starts.
 *
 * @param scheduler - The scheduler.
 * @param step - The step of the tasks.
 * @param assignments - Tasks with their workers; may be empty.
 */
export function startRuns(scheduler: Scheduler, step: StepEntry, assignments: readonly Assignment[]): void {
    if (assignments.length === 0) {
        return;
    }
    const lastRun = Math.max(
        scheduler.ownership.term * RUN_NUMBERS_PER_TERM,
        ...assignments.map(({ task }) => task.lastRun),
    );
    const entry = step.job;
    if (entry.state === JobState.QUEUED) {
        entry.state = JobState.RUNNING;
    }
    const { medianMs, highMs } = scheduler.runTimePredictor.forecast(step);
    scheduler.log.info("A step is placed.", {
        job: entry.id,
        step: step.number,
        occurrence: step.occurrence,
        tasks: assignments.length,
        run: lastRun + 1,
        waitedMs: Math.round(scheduler.clock() - (step.readyAt ?? 0)),
        workers: [...new Set(assignments.map(({ worker }) => worker.id))].slice(0, 8),
        medianMs: Math.round(medianMs),
        highMs: Math.round(highMs),
        slowest: roundHundredths(Math.max(...assignments.map(({ worker }) => worker.relativeRunTime))),
    });
    for (const { task, worker } of assignments) {
        const run = createRun(task, worker, lastRun + 1, scheduler.clock(), true);
        worker.wakeSignal.notify();
        scheduler.spawn(() => startRun(scheduler, run, findTicket(step, worker)));
    }
}

function roundHundredths(value: number): number {
    return Math.round(value * 100) / 100;
}
