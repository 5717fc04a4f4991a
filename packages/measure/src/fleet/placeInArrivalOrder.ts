import { startRuns } from "@balsamward/scheduler/engine/runs/startRuns";
import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";
import type { Assignment } from "@balsamward/scheduler/placement/countFittingTasks";
import { countFittingTasks } from "@balsamward/scheduler/placement/countFittingTasks";
import { listSteps } from "@balsamward/scheduler/state/listSteps";
import { listWaitingTasks } from "@balsamward/scheduler/state/listWaitingTasks";

/**
 * Places waiting tasks in the order of the jobs' arrivals, each on the first worker with room; a gang whole or not at
 * all. This is the baseline of the scheduler's own passes.
 *
 * @param scheduler - The scheduler.
 */
export function placeInArrivalOrder(scheduler: Scheduler): void {
    let freeStarts = scheduler.orders.countFreeStarts();
    for (const job of scheduler.activeJobs) {
        for (const step of listSteps(job)) {
            const waiting = listWaitingTasks(step);
            const slots = [...scheduler.fleet.values()].flatMap(worker =>
                Array.from({ length: countFittingTasks(worker, step.spec, 0) }, () => worker)
            );
            const assignments = waiting.slice(0, slots.length).map((task, index): Assignment => ({
                task,
                worker: slots[index]!,
            }));
            if (!step.spec.gang || assignments.length === step.tasks.length) {
                const startable = step.spec.gang ? assignments : assignments.slice(0, freeStarts);
                startRuns(scheduler, step, startable);
                freeStarts -= startable.length;
            }
            if (freeStarts <= 0) {
                scheduler.orders.awaitFreeStarts(1);
                return;
            }
        }
    }
}
