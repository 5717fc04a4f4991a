import type { QueueTerms } from "../../FleetConfiguration.js";
import { placeTasks } from "../../placement/placeTasks.js";
import type { JobEntry } from "../../state/JobEntry.js";
import { listSteps } from "../../state/listSteps.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { startRuns } from "../runs/startRuns.js";
import type { Scheduler } from "../Scheduler.js";
import { computeRunTimeLimit } from "./computeRunTimeLimit.js";
import { estimateJobTimes } from "./estimateJobTimes.js";
import { findStragglers } from "./findStragglers.js";
import { isEligible } from "./isEligible.js";
import { filterAllowedWorkers } from "./stepAdvice.js";

/**
 * Places speculative copies of a job's stragglers, each on a worker that does not run the task yet.
 *
 * @param scheduler - The scheduler.
 * @param schedulable - Workers on which runs may be started; copies use only capacity that no step waits for.
 * @param entry - The job.
 * @param terms - The terms that apply to the job; a job without terms gets no copies.
 */
export function placeCopies(
    scheduler: Scheduler,
    schedulable: readonly WorkerEntry[],
    entry: JobEntry,
    terms: QueueTerms | undefined,
): void {
    if (terms === undefined) {
        return;
    }
    for (const step of listSteps(entry)) {
        for (const task of findStragglers(scheduler, step)) {
            const eligible = schedulable.filter(worker =>
                isEligible(worker, terms, step) && task.runs.every(run => run.worker !== worker)
            );
            const workers = filterAllowedWorkers(terms.advice, step, eligible, scheduler.clock());
            const times = estimateJobTimes(entry, terms, scheduler.runTimePredictor);
            const limit = computeRunTimeLimit(scheduler, { entry, times }, step, workers);
            startRuns(scheduler, step, placeTasks(step, [task], workers, limit));
        }
    }
}
