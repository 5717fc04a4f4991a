import type { TaskEntry } from "../../state/JobEntry.js";
import { listSteps } from "../../state/listSteps.js";
import { markProgressChanged } from "../jobs/endJob.js";
import { listTasksSharingOutcome } from "../runs/listTasksSharingOutcome.js";
import type { Scheduler } from "../Scheduler.js";

/** Evidence from which on a task is suspected; see `computeCrashEvidence`. */
const SUSPICION_EVIDENCE = 1;

/** Evidence from which on a task counts as the cause of the crashes under it; two crashes bring less. */
const GUILT_EVIDENCE = 5.2;

/** Time of running without a crash in which evidence falls to half, in milliseconds. */
const EVIDENCE_HALF_LIFE_MS = 120_000;

/** Time for which a run lasts without a crash until its task is no longer suspected, in milliseconds. */
export const ACQUITTAL_MS = 30_000;

/**
 * Returns whether a task is suspected of crashing its workers.
 *
 * @param task - The task.
 * @returns True if workers have crashed under it in a way that is hard to explain otherwise.
 */
export function isSuspected({ crashEvidence }: TaskEntry): boolean {
    return crashEvidence >= SUSPICION_EVIDENCE;
}

/**
 * Returns whether a task counts as the cause of the crashes under it. Of many tasks that run alike, one is likelier to
 * meet several crashes by chance.
 *
 * @param task - The task.
 * @returns True if they are next to impossible to explain otherwise.
 */
export function isGuilty({ crashEvidence, step: { spec } }: TaskEntry): boolean {
    return crashEvidence >= GUILT_EVIDENCE + (spec.gang ? 0 : Math.log10(spec.taskCount));
}

/**
 * Adds the evidence of a crash to a task; earlier evidence has faded while the run lasted.
 *
 * @param task - The task.
 * @param evidence - Evidence of the crash.
 * @param ageMs - Time for which the run had lasted, in milliseconds.
 */
export function addCrashEvidence(task: TaskEntry, evidence: number, ageMs: number): void {
    task.crashEvidence = Math.max(0, task.crashEvidence * 2 ** (-ageMs / EVIDENCE_HALF_LIFE_MS) + evidence);
}

/**
 * Forgets the crashes under a task and its gang after a run that shows that it does not crash its workers.
 *
 * @param scheduler - The scheduler.
 * @param task - The task.
 * @param run - Number of the run; one that began before the latest crash under the task shows nothing.
 * @param ageMs - Time for which it has lasted, in milliseconds; infinite if its worker has reported its end.
 */
export function forgetCrashes(scheduler: Scheduler, task: TaskEntry, run: number, ageMs: number): void {
    if (task.crashedRuns.size === 0 || ageMs < ACQUITTAL_MS || run <= Math.max(...task.crashedRuns)) {
        return;
    }
    scheduler.log.info("The crashes under a task no longer count.", {
        ...task.name,
        run,
        crashes: task.crashedRuns.size,
        evidence: task.crashEvidence,
        ageMs,
    });
    for (const member of listTasksSharingOutcome(task)) {
        member.crashedRuns.clear();
        member.crashEvidence = 0;
        member.crashAgeMs = 0;
        member.crashHoldMs = 0;
    }
    markProgressChanged(scheduler, task.step.job);
}

/**
 * Continues the suspicions of the owner before: a task that is suspected waits as after a crash that has just become
 * known, since the time of the latest one is not stored.
 *
 * @param scheduler - The scheduler, which has just loaded the jobs.
 */
export function continueSuspicions(scheduler: Scheduler): void {
    const tasks = [...scheduler.activeJobs].flatMap(listSteps).flatMap(step => step.tasks);
    tasks.filter(isSuspected).forEach(task => {
        task.crashedAt = scheduler.clock();
    });
}
