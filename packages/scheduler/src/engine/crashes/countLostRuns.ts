import type { TaskName } from "../../ids.js";
import type { HoldAnswer } from "../../ports/WorkerPort.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { countCrash } from "./countCrash.js";
import type { LostRun, LostRuns } from "./LostRuns.js";
import { forgetSuspectedRun } from "./suspectedRuns.js";

/**
 * Counts the crashes that a worker's answer to a hold proves: of an earlier incarnation of the worker, or of an earlier
 * worker on its machine. Silence or the end of a lease alone proves none.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, whose entry describes the incarnation that has answered.
 */
export function countLostRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    const belongs = (lost: LostRuns): boolean =>
        lost.worker === worker.id || lost.machine !== "" && lost.machine === worker.machine;
    const found = scheduler.lostRuns.filter(belongs);
    if (found.length > 0) {
        scheduler.lostRuns = scheduler.lostRuns.filter(lost => !belongs(lost));
        for (const lost of found) {
            if (hasBeenReplaced(lost, worker)) {
                countCrash(scheduler, lost);
            }
            else {
                lost.runs.filter(({ task, number }) => task.runs.every(run => run.number !== number))
                    .forEach(({ task, number }) => forgetSuspectedRun(task, number));
            }
        }
    }
}

/**
 * Counts the crash of a worker whose runs have just been released if another worker on its machine has answered
 * before. That one may be idle, and then sends no further answer, at which the crash would be counted, for long.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, whose runs are remembered.
 */
export function countLostRunsOfPredecessor(scheduler: Scheduler, worker: WorkerEntry): void {
    const successor = [...scheduler.fleet.values()].find(other =>
        other.id !== worker.id && other.hasAnswered && worker.machine !== ""
        && other.machine === worker.machine
    );
    if (successor !== undefined) {
        countLostRuns(scheduler, successor);
    }
}

/** Returns whether a worker is another life of its machine; one that was only cut off is still in the same. */
function hasBeenReplaced(lost: LostRuns, worker: WorkerEntry): boolean {
    return lost.worker !== worker.id
        || lost.bornMs !== 0 && worker.bornMs !== 0 && lost.bornMs !== worker.bornMs;
}

/**
 * Leaves out the runs that may belong to the new incarnation that has answered a hold.
 *
 * @param lost - The runs of the entry before the answer.
 * @param answer - The answer of the new incarnation.
 * @param sentAt - Monotonic time at which the hold was sent, in milliseconds.
 * @returns The runs that certainly ended with the earlier incarnation.
 */
export function excludeNewRuns(lost: LostRuns, answer: HoldAnswer, sentAt: number): LostRuns {
    const listed = new Set(
        [...answer.running, ...answer.ended].map(({ task, run }) => formatRunKey(task, run)),
    );
    const isOlder = ({ task, number, run }: LostRun): boolean =>
        (run === undefined || run.orderedAt <= sentAt && run.confirmedAt <= sentAt)
        && !listed.has(formatRunKey(task.name, number));
    return { ...lost, runs: lost.runs.filter(isOlder) };
}

function formatRunKey({ job, occurrence, step, index }: TaskName, run: number): string {
    return [job, occurrence, step, index, run].join(".");
}
