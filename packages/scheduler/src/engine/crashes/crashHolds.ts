import type { TaskEntry } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { getOutcomeUnit } from "./LostRuns.js";
import { isGuilty, isSuspected } from "./suspicion.js";

/** Number of crashes from which on a suspected task is started only while the fleet is calm. */
const MIN_CRASHES_FOR_CALM = 3;

/** Time without other crashes after which the fleet is calm, in milliseconds. */
const CALM_MS = 3_000;

/** Longest time for which a task waits for that, in milliseconds; it may be innocent, and is missed soon after. */
const MAX_CALM_WAIT_MS = 8_000;

/** Number of crashes from which on a task waits until it is known whether the worker of its lost run has crashed. */
const MIN_CRASHES_FOR_CERTAINTY = 2;

/** Longest time for which it waits for that, in milliseconds. */
const MAX_CERTAINTY_WAIT_MS = 1_000;

/** Evidence from which on a task is held from its third crash on; one that lasts has to be started again soon. */
const HOLD_EVIDENCE = 1.3;
const LASTING_HOLD_EVIDENCE = 2.3;

/** Evidence of a crash below which it does not hold a task, and below which it does not make a hold longer. */
const MIN_EVIDENCE_FOR_HOLD = 0.2;
const MIN_EVIDENCE_FOR_LONG_HOLD = 0.3;

/** Time for which a task that is probably the cause is not started, in milliseconds; longer from a further crash on. */
const HOLD_MS = 20_000;
const LONG_HOLD_MS = 75_000;

/** The same, of a lasting task that counts as the cause. */
const FIRST_GUILTY_HOLD_MS = 20_000;

/** The same, from its fourth crash on; it grows by a factor with each further one. */
const LONG_GUILTY_HOLD_MS = 120_000;
const GUILTY_HOLD_FACTOR = 6;
const MAX_GUILTY_HOLD_MS = 3_600_000;

/**
 * Returns whether a task is not started now, since workers have crashed under it. An innocent one must be started again
 * soon, so one that is merely suspected waits only while other machines crash, and a crash under it would show little.
 *
 * @param scheduler - The scheduler.
 * @param task - The task.
 * @returns True if it is not to be placed.
 */
export function isHeld(scheduler: Scheduler, task: TaskEntry): boolean {
    if (task.crashedRuns.size === 0) {
        return false;
    }
    const sinceCrashMs = scheduler.clock() - task.crashedAt;
    return sinceCrashMs < task.crashHoldMs
        || isSuspected(task) && sinceCrashMs < MAX_CALM_WAIT_MS
            && countCrashes(scheduler, task) >= MIN_CRASHES_FOR_CALM && !isCalm(scheduler, task)
        || task.crashedRuns.size >= MIN_CRASHES_FOR_CERTAINTY && hasJustLostRun(scheduler, task);
}

/**
 * Sets for how long a task is not started after a crash.
 *
 * @param scheduler - The scheduler.
 * @param task - The task, after the crash, which is counted.
 * @param evidence - Evidence of the crash.
 */
export function holdAfterCrash(scheduler: Scheduler, task: TaskEntry, evidence: number): void {
    const crashes = countCrashes(scheduler, task);
    if (evidence <= 0) {
        // It has other causes, so that even a suspected task is to go on.
        task.crashHoldMs = 0;
        return;
    }
    if (isGuilty(task)) {
        task.crashHoldMs = crashes <= MIN_CRASHES_FOR_CALM
            ? FIRST_GUILTY_HOLD_MS
            : Math.min(
                MAX_GUILTY_HOLD_MS,
                Math.max(LONG_GUILTY_HOLD_MS, task.crashHoldMs * GUILTY_HOLD_FACTOR),
            );
        return;
    }
    const isProbablyGuilty = crashes >= MIN_CRASHES_FOR_CALM
        && task.crashEvidence >= (task.step.spec.lasting ? LASTING_HOLD_EVIDENCE : HOLD_EVIDENCE);
    if (!isProbablyGuilty) {
        task.crashHoldMs = 0;
    }
    else if (task.crashHoldMs > 0 && evidence >= MIN_EVIDENCE_FOR_LONG_HOLD) {
        task.crashHoldMs = LONG_HOLD_MS;
    }
    else if (evidence >= MIN_EVIDENCE_FOR_HOLD) {
        task.crashHoldMs = Math.max(HOLD_MS, task.crashHoldMs);
    }
}

/**
 * Returns the number of crashes under a task; one more for a job of an earlier term, since one may have been missed as
 * its owner died with the worker.
 */
function countCrashes({ ownership }: Scheduler, { crashedRuns, step }: TaskEntry): number {
    const isOfEarlierTerm = ownership.term > 0 && step.job.job.termRevision !== ownership.revision;
    return crashedRuns.size + (isOfEarlierTerm ? 1 : 0);
}

/** Returns whether no machine has crashed or fallen silent lately, except under the task. */
function isCalm({ workerCrashes, fleet, clock }: Scheduler, task: TaskEntry): boolean {
    const unit = getOutcomeUnit(task);
    const since = clock() - CALM_MS;
    return workerCrashes.every(({ latestAt, units }) => latestAt < since || units.includes(unit))
        && [...fleet.values()].every(({ silentSince }) => silentSince === undefined || silentSince < since);
}

function hasJustLostRun({ lostRuns, clock }: Scheduler, task: TaskEntry): boolean {
    const since = clock() - MAX_CERTAINTY_WAIT_MS;
    return lostRuns.some(({ lostAt, runs }) => lostAt >= since && runs.some(run => run.task === task));
}
