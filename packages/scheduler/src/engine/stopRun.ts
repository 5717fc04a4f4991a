import { STOP_RETRY_MS } from "../constants.js";
import type { Run, StepEntry } from "../state/JobEntry.js";
import { releaseRun } from "./runs.js";
import type { Scheduler } from "./Scheduler.js";

/** Why a run is stopped. */
export type StopReason =
    | "job-ended"
    | "unclear-start"
    | "gang-broken"
    | "preempted"
    | "unknown-run"
    | "stalled"
    | "evacuated"
    | "upkeep"
    | "copy-done";

/**
 * Stops a run, again and again until its worker answers.
 *
 * The answered stop outlaws the run number on that worker, so that a start that arrives later is
 * refused. The run is released when its end is listed, or when a later hold no longer lists it.
 *
 * @param scheduler - The scheduler.
 * @param run - The run; nothing happens if it is being stopped.
 * @param reason - Why it is stopped.
 */
export function stopRun(scheduler: Scheduler, run: Run, reason: StopReason): void {
    if (run.phase === "stopping") {
        return;
    }
    run.phase = "stopping";
    scheduler.metrics.stops.inc({ reason });
    scheduler.log.info("A run is stopped.", {
        ...run.task.name,
        run: run.number,
        worker: run.worker.id,
        reason,
    });
    scheduler.spawn(() => sendStop(scheduler, run));
}

async function sendStop(scheduler: Scheduler, run: Run): Promise<void> {
    const { worker } = run;
    const order = { task: run.task.name, run: run.number, fence: scheduler.ownership.revision };
    while (worker.runs.has(run) && !scheduler.ownership.signal.aborted) {
        const outcome = await scheduler.workers.stop(worker, order);
        switch (outcome.kind) {
            case "done":
                run.stopAnsweredAt = scheduler.clock();
                return;
            case "fenced":
                scheduler.ownership.resign("A worker knows a newer owner.");
                return;
            case "other-life":
                releaseRun(run);
                scheduler.requestPass();
                return;
            case "old-run":
                run.stopAnsweredAt = scheduler.clock();
                return;
            case "unhealthy":
            case "late":
            case "no-room":
            case "bad-ticket":
            case "invalid":
            case "unreachable":
            case "unclear":
                scheduler.metrics.orderFaults.inc({ order: "stop", reason: outcome.kind });
                await scheduler.pause(STOP_RETRY_MS, scheduler.ownership.signal);
        }
    }
}

/**
 * Stops the members of a gang's run that are left after one has ended.
 *
 * @param scheduler - The scheduler.
 * @param step - The gang.
 * @param number - The run's number.
 */
export function stopGang(scheduler: Scheduler, step: StepEntry, number: number): void {
    for (const task of step.tasks) {
        task.runs.filter(run => run.number <= number).forEach(run => stopRun(scheduler, run, "gang-broken"));
    }
}
