import { placeTasks } from "../placement/placeTasks.js";
import { listSteps } from "../state/listSteps.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { allowedWorkers } from "./adviseStep.js";
import { beginRuns } from "./beginRuns.js";
import { findStragglers } from "./findStragglers.js";
import { isSuited } from "./isSuited.js";
import type { RankedJob } from "./orderJobs.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Places copies of a job's slow tasks, each on another worker than the run that is under way.
 *
 * @param scheduler - The scheduler.
 * @param usable - Workers that may get starts; copies take only room that nothing else waits for.
 * @param ranked - The job.
 */
export function placeCopies(
    scheduler: Scheduler,
    usable: readonly WorkerEntry[],
    { entry, queue }: RankedJob,
): void {
    for (const step of listSteps(entry)) {
        for (const task of findStragglers(scheduler, step)) {
            const fitting = usable.filter(worker =>
                isSuited(worker, queue, step) && task.runs.every(run => run.worker !== worker)
            );
            const workers = allowedWorkers(queue.advice, step, fitting, scheduler.clock());
            beginRuns(scheduler, step, placeTasks(step, [task], workers));
        }
    }
}
