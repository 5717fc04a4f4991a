import { JobState } from "@balsamward/schema/scheduling";
import { isFinalState } from "../../state/isFinalState.js";
import type { JobEntry, Run } from "../../state/JobEntry.js";
import { listSteps } from "../../state/listSteps.js";
import { awaitGangEnd, stopRun } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Marks a job's progress as changed, so that it is stored.
 *
 * @param scheduler - The scheduler.
 * @param entry - The job.
 */
export function markProgressChanged(scheduler: Scheduler, entry: JobEntry): void {
    entry.hasUnstoredProgress = true;
    entry.changeCount += 1;
    scheduler.requestFlush();
}

/**
 * Ends a job and stops its runs.
 *
 * @param scheduler - The scheduler.
 * @param entry - The job; one that has ended is ignored.
 * @param state - The final state.
 * @param reason - Why the job ends, for the log.
 */
export function endJob(scheduler: Scheduler, entry: JobEntry, state: JobState, reason: string): void {
    if (isFinalState(entry.state)) {
        return;
    }
    entry.state = state;
    entry.endedAtMs = scheduler.wallClock();
    entry.endKnownAt = scheduler.clock();
    scheduler.activeJobs.delete(entry);
    scheduler.metrics.jobEvents.inc({ event: JobState[state].toLowerCase() });
    if (state === JobState.FAILED) {
        scheduler.metrics.jobFailures.inc({ reason });
    }
    scheduler.log.info("A job ends.", {
        job: entry.id,
        state: JobState[state],
        reason,
        ageMs: Math.round(scheduler.clock() - entry.acceptedAt),
    });
    for (const step of listSteps(entry)) {
        for (const task of step.tasks) {
            task.runs.forEach(run => endRunOfJob(scheduler, run));
        }
    }
    markProgressChanged(scheduler, entry);
    scheduler.requestPass();
}

/** Ends a run of an ended job. That of a completed job is a member of a gang that has ended on all its workers. */
function endRunOfJob(scheduler: Scheduler, run: Run): void {
    const { step } = run.task;
    if (step.spec.gang && step.job.state === JobState.COMPLETED) {
        awaitGangEnd(scheduler, run, "job-ended");
    }
    else {
        stopRun(scheduler, run, "job-ended");
    }
}

/**
 * Completes a job if all tasks of all its occurrences are done.
 *
 * @param scheduler - The scheduler.
 * @param entry - The job.
 */
export function endJobIfComplete(scheduler: Scheduler, entry: JobEntry): void {
    const occurrenceCount = entry.job.schedule?.times ?? 1;
    if (
        entry.occurrences.size === occurrenceCount
        && listSteps(entry).every(step => step.doneCount === step.tasks.length)
    ) {
        endJob(scheduler, entry, JobState.COMPLETED, "all-tasks-done");
    }
}
