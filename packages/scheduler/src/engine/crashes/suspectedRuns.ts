import type { Run, TaskEntry } from "../../state/JobEntry.js";
import { listSteps } from "../../state/listSteps.js";
import { markProgressChanged } from "../jobs/endJob.js";
import type { Scheduler } from "../Scheduler.js";
import type { LostRuns } from "./LostRuns.js";

/** Number of runs of a task that are stored; a task that is suspected seldom has more than one or two. */
const MAX_SUSPECTED_RUNS = 4;

/** Longest time between the terms of two owners in which a crash is assumed, in milliseconds. */
const MAX_GAP_MS = 5_000;

/** Longest time for which a start waits until its run is stored, in milliseconds; the store may be down for longer. */
const MAX_STORE_WAIT_MS = 3_000;

/** Interval at which a start looks whether its run is stored, in milliseconds. */
const STORE_LOOK_INTERVAL_MS = 20;

/**
 * Records a run of a suspected task in the progress of its job, and waits until that is stored, so that a crash under
 * it also counts if the owner dies with the worker.
 *
 * @param scheduler - The scheduler.
 * @param run - The run, whose start has not been sent.
 */
export async function storeSuspectedRun(scheduler: Scheduler, run: Run): Promise<void> {
    const { task, worker, number } = run;
    const { job } = task.step;
    const { bornMs, machine } = worker;
    const alone = worker.runs.size === 1 && worker.isolatedUntil > scheduler.clock();
    const suspectedRun = { run: number, worker: worker.id, machine, bornMs, alone };
    task.suspectedRuns = [...task.suspectedRuns, suspectedRun].slice(-MAX_SUSPECTED_RUNS);
    markProgressChanged(scheduler, job);
    const { changeCount } = job;
    const giveUpAt = scheduler.clock() + MAX_STORE_WAIT_MS;
    while (job.storedChangeCount < changeCount && scheduler.clock() < giveUpAt) {
        await scheduler.pause(STORE_LOOK_INTERVAL_MS, scheduler.ownership.signal);
        if (scheduler.ownership.signal.aborted) {
            return;
        }
    }
}

/**
 * Forgets a run of a suspected task, since it is known how it ended.
 *
 * @param task - The task.
 * @param run - The number of the run.
 */
export function forgetSuspectedRun(task: TaskEntry, run: number): void {
    const remaining = task.suspectedRuns.filter(suspected => suspected.run !== run);
    if (remaining.length < task.suspectedRuns.length) {
        const { job } = task.step;
        task.suspectedRuns = remaining;
        job.hasUnstoredProgress = true;
        job.changeCount += 1;
    }
}

/**
 * Lists the runs of suspected tasks that earlier owners have stored: a crash under them is known once their worker has
 * answered as another incarnation.
 *
 * @param scheduler - The scheduler, which has just loaded the jobs.
 * @returns The runs, by worker.
 */
export function listInheritedRuns(scheduler: Scheduler): readonly LostRuns[] {
    const tasks = [...scheduler.activeJobs].flatMap(listSteps).flatMap(step => step.tasks);
    return tasks.flatMap(task =>
        task.suspectedRuns.map(({ run, worker, machine, bornMs, alone }): LostRuns => ({
            worker,
            machine,
            bornMs,
            lostAt: scheduler.clock(),
            earliestAt: scheduler.clock() - MAX_GAP_MS,
            silentAt: scheduler.clock(),
            runs: [{ task, number: run, run: undefined, isCountable: true, isConfirmed: alone, ageMs: 0 }],
        }))
    );
}
