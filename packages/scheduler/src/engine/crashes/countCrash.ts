import { JobState } from "@balsamward/schema/scheduling";
import { MAX_WORKER_LEASE_MS } from "../../constants.js";
import { isFinalState } from "../../state/isFinalState.js";
import { getMachineName } from "../fleet/getMachineName.js";
import { endJob, markProgressChanged } from "../jobs/endJob.js";
import { listTasksSharingOutcome } from "../runs/listTasksSharingOutcome.js";
import { stopGang, stopRun } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";
import { computeCrashEvidence } from "./computeCrashEvidence.js";
import { holdAfterCrash } from "./crashHolds.js";
import { describeCircumstances } from "./describeCircumstances.js";
import { MAX_UNNOTICED_MS } from "./followMachineLives.js";
import type { LostRun, LostRuns } from "./LostRuns.js";
import { getOutcomeUnit } from "./LostRuns.js";
import { recordWorkerCrash } from "./recordWorkerCrash.js";
import { forgetSuspectedRun } from "./suspectedRuns.js";
import { addCrashEvidence, isGuilty } from "./suspicion.js";
import type { WorkerCrash } from "./WorkerCrash.js";

/**
 * Counts the crash of a worker for the tasks that ran on it, as evidence against them as far as it cannot be explained
 * otherwise. A gang counts as one task.
 *
 * A task that is suspected is then placed apart from other runs, so that a further crash shows whether it is the cause.
 * Once it counts as the cause, its job is given up; one that lasts is started again, but less and less often.
 *
 * @param scheduler - The scheduler.
 * @param lost - The runs of the crashed incarnation; runs that were counted before are ignored.
 */
export function countCrash(scheduler: Scheduler, lost: LostRuns): void {
    if (lost.runs.length === 0) {
        return;
    }
    const units = [...new Set(lost.runs.map(({ task }) => getOutcomeUnit(task)))];
    const crash = recordWorkerCrash(scheduler, {
        machine: getMachineName({ machine: lost.machine, id: lost.worker }),
        bornMs: lost.bornMs,
        earliestAt: lost.earliestAt,
        // An answer of the former life may arrive after the worker was found silent.
        latestAt: Math.max(lost.earliestAt, lost.silentAt),
        units,
    });
    lost.runs.filter(({ isCountable }) => isCountable).forEach(lostRun =>
        countRun(scheduler, crash, lostRun)
    );
}

function countRun(
    scheduler: Scheduler,
    crash: WorkerCrash,
    { task, number, run, ageMs, isConfirmed }: LostRun,
): void {
    const { step } = task;
    forgetSuspectedRun(task, number);
    if (
        task.done || isFinalState(step.job.state)
        || task.crashedRuns.has(number) || task.countedRuns.has(number)
    ) {
        return;
    }
    const circumstances = {
        ...describeCircumstances(scheduler, crash, getOutcomeUnit(task)),
        ageMs: Math.round(ageMs),
        workerCount: step.spec.gang ? step.tasks.length : 1,
        isConfirmed,
        isInherited: run === undefined,
        silenceMs: Math.round(getSilenceMs(scheduler, crash)),
        neighbourCount: crash.units.length - 1,
    };
    const evidence = computeCrashEvidence(circumstances);
    for (const member of listTasksSharingOutcome(task)) {
        member.crashedRuns.add(number);
        member.crashedAt = scheduler.clock();
        addCrashEvidence(member, evidence, ageMs);
        if (evidence > 0) {
            member.crashAgeMs = Math.max(1, circumstances.ageMs, member.crashAgeMs);
        }
    }
    markProgressChanged(scheduler, step.job);
    scheduler.metrics.workerCrashes.inc({ alone: String(circumstances.neighbourCount === 0 && isConfirmed) });
    scheduler.log.warn("A worker has crashed under a task.", {
        ...task.name,
        run: number,
        machine: crash.machine,
        bornMs: crash.bornMs,
        ...circumstances,
        crashes: task.crashedRuns.size,
        evidence,
        totalEvidence: task.crashEvidence,
    });
    if (isGuilty(task) && !step.spec.lasting) {
        endJob(scheduler, step.job, JobState.FAILED, "crashes-workers");
        return;
    }
    listTasksSharingOutcome(task).forEach(member => holdAfterCrash(scheduler, member, evidence));
    if (run?.phase === "starting" && run.worker.runs.has(run)) {
        // A repeated order would start the run on the new incarnation, and a second crash under it is not counted.
        stopRun(scheduler, run, "unclear-start");
        if (step.spec.gang) {
            stopGang(scheduler, step, number);
        }
    }
}

/**
 * Returns the time within which a worker may have crashed under a run. One that was silent for long may have been cut
 * off first, and then have crashed at any time; but no run outlives the lease of its worker.
 */
function getSilenceMs({ clock }: Scheduler, { earliestAt, latestAt }: WorkerCrash): number {
    return clock() - latestAt > MAX_UNNOTICED_MS ? MAX_WORKER_LEASE_MS : latestAt - earliestAt;
}
