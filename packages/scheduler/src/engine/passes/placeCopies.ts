import type { Queue } from "../../FleetConfiguration.js";
import { placeTasks } from "../../placement/placeTasks.js";
import type { JobEntry } from "../../state/JobEntry.js";
import { listSteps } from "../../state/listSteps.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { startRuns } from "../runs/startRuns.js";
import type { Scheduler } from "../Scheduler.js";
import { findStragglers } from "./findStragglers.js";
import { isEligible } from "./isEligible.js";
import { filterAllowedWorkers } from "./stepAdvice.js";

/**
 * Places speculative copies of a job's stragglers, each on a worker that does not run the task yet.
 *
 * @param scheduler - The scheduler.
 * @param schedulable - Workers on which runs may be started; copies use only capacity that no step waits for.
 * @param entry - The job.
 * @param queue - The job's queue; one that is not configured gets no copies.
 */
export function placeCopies(
    scheduler: Scheduler,
    schedulable: readonly WorkerEntry[],
    entry: JobEntry,
    queue: Queue | undefined,
): void {
    if (queue === undefined) {
        return;
    }
    for (const step of listSteps(entry)) {
        for (const task of findStragglers(scheduler, step)) {
            const eligible = schedulable.filter(worker =>
                isEligible(worker, queue, step) && task.runs.every(run => run.worker !== worker)
            );
            const workers = filterAllowedWorkers(queue.advice, step, eligible, scheduler.clock());
            startRuns(scheduler, step, placeTasks(step, [task], workers));
        }
    }
}
