import { JobState } from "@balsamward/schema/scheduling";
import { isFinalState } from "../../state/isFinalState.js";
import type { StepEntry } from "../../state/JobEntry.js";
import { getMachineName } from "../fleet/getMachineName.js";
import { endJob, markProgressChanged } from "../jobs/endJob.js";
import { stopGang, stopRun } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";
import { describeCircumstances } from "./describeCircumstances.js";
import type { LostRun, LostRuns } from "./LostRuns.js";
import { getOutcomeUnit } from "./LostRuns.js";
import { recordWorkerCrash } from "./recordWorkerCrash.js";
import { forgetSuspectedRun } from "./suspectedRuns.js";
import type { WorkerCrash } from "./WorkerCrash.js";

/**
 * Number of crashes at which a job is given up if the last worker ran nothing else, or if crashes before may have been
 * missed.
 */
const MIN_CRASHES = 3;

/** Number of crashes at which a job is given up in any case. */
const MAX_CRASHES = 4;

/** Time within which the crashes of several workers have a common cause, such as a power cut, in milliseconds. */
const COMMON_CAUSE_WINDOW_MS = 2_000;

/** Number of workers whose crashes within `COMMON_CAUSE_WINDOW_MS` have a common cause. */
const COMMON_CAUSE_WORKERS = 3;

/**
 * Counts the crash of a worker for the tasks that ran on it.
 *
 * A task that ran on a crashed worker is suspected, and is then placed apart from other runs, so that a further crash
 * shows whether it is the cause. Its job is given up once three workers have crashed under the task and the last of
 * them ran nothing else, or once four have; a job of an earlier term at the third crash in any case. A gang counts as
 * one task. Crashes of at least three workers within two seconds have a common cause: they count, but a task is
 * suspected only from its second crash on.
 *
 * @param scheduler - The scheduler.
 * @param lost - The runs of the crashed incarnation; runs that were counted before are ignored.
 */
export function countCrash(scheduler: Scheduler, lost: LostRuns): void {
    if (lost.runs.length === 0) {
        return;
    }
    const now = scheduler.clock();
    scheduler.crashTimes = [...scheduler.crashTimes.filter(time => now - time < COMMON_CAUSE_WINDOW_MS), now];
    const units = [...new Set(lost.runs.map(({ task }) => getOutcomeUnit(task)))];
    const crash = recordWorkerCrash(scheduler, {
        machine: getMachineName({ machine: lost.machine, id: lost.worker }),
        bornMs: lost.bornMs,
        earliestAt: lost.lastAnswerAt,
        latestAt: lost.silentAt,
        units,
    });
    const isAlone = units.length === 1;
    lost.runs.filter(({ isCountable }) => isCountable)
        .forEach(lostRun => countRun(scheduler, crash, lostRun, isAlone && lostRun.isConfirmed));
}

function countRun(
    scheduler: Scheduler,
    crash: WorkerCrash,
    { task, number, run, ageMs }: LostRun,
    isAlone: boolean,
): void {
    const { step } = task;
    forgetSuspectedRun(task, number);
    if (
        task.done || isFinalState(step.job.state)
        || task.crashedRuns.has(number) || task.countedRuns.has(number)
    ) {
        return;
    }
    const crashes = task.crashedRuns.size + 1;
    const isSuspected = scheduler.crashTimes.length < COMMON_CAUSE_WORKERS || crashes > 1;
    for (const member of step.spec.gang ? step.tasks : [task]) {
        member.crashedRuns.add(number);
        member.crashedAt = scheduler.clock();
        member.crashAgeMs = isSuspected
            ? Math.max(1, Math.round(ageMs), member.crashAgeMs)
            : member.crashAgeMs;
    }
    markProgressChanged(scheduler, step.job);
    scheduler.metrics.workerCrashes.inc({ alone: String(isAlone) });
    scheduler.log.warn("A worker has crashed under a task.", {
        ...task.name,
        run: number,
        machine: crash.machine,
        bornMs: crash.bornMs,
        units: crash.units.length,
        ...describeCircumstances(scheduler, crash, getOutcomeUnit(task)),
        crashes,
        alone: isAlone,
        suspected: isSuspected,
        ageMs: Math.round(ageMs),
    });
    if (crashes >= (isAlone || mayHaveUncountedCrashes(scheduler, step) ? MIN_CRASHES : MAX_CRASHES)) {
        endJob(scheduler, step.job, JobState.FAILED, "crashes-workers");
    }
    else if (run?.phase === "starting" && run.worker.runs.has(run)) {
        // A repeated order would start the run on the new incarnation, and a second crash under it is not counted.
        stopRun(scheduler, run, "unclear-start");
        if (step.spec.gang) {
            stopGang(scheduler, step, number);
        }
    }
}

/** Returns whether crashes before the task was suspected may have been missed, since an owner has died meanwhile. */
function mayHaveUncountedCrashes({ ownership }: Scheduler, { job: { job } }: StepEntry): boolean {
    return job.termRevision !== ownership.revision;
}
