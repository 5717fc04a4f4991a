import type { Run } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { applyOrderAnswer, describeSentOrder } from "../fleet/applyOrderAnswer.js";
import type { Scheduler } from "../Scheduler.js";

/** Share of its target above which the tail latency of a serving task slows best-effort runs on its worker. */
const HIGH_LATENCY_SHARE = 0.9;

/** Share of the target below which best-effort runs are sped up. */
const LOW_LATENCY_SHARE = 0.7;

/** Factor by which the pace of best-effort runs is reduced. */
const SLOWDOWN_FACTOR = 0.5;

/** Step by which the pace of best-effort runs is raised, in percentage points. */
const RAISE_STEP_PERCENT = 10;

/** Pace below which best-effort runs are halted, in percent. */
const MIN_PACE_PERCENT = 10;

/** Shortest time between a change of pace on a worker and the next raise, in milliseconds. */
const RAISE_INTERVAL_MS = 1_000;

/**
 * Adapts the pace of best-effort runs, which fill idle capacity, to the serving tasks on the same worker: reduces
 * it at once when a tail latency approaches its target, and raises it in small steps afterwards.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which has just reported the tail latencies.
 */
export function paceBestEffortRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    const running = [...worker.runs].filter(run => run.phase === "running");
    const bestEffort = running.filter(run => run.task.step.spec.fillsIdle);
    const serving = running.filter(run => run.task.step.spec.tailTargetMs > 0);
    if (bestEffort.length === 0) {
        return;
    }
    const latencyShare = Math.max(0, ...serving.map(run => run.load / run.task.step.spec.tailTargetMs));
    const pace = computeNextPace(scheduler, worker, latencyShare);
    worker.bestEffortPacePercent = pace;
    bestEffort.filter(run => run.pacePercent !== pace).forEach(run => setPace(scheduler, run, pace));
}

function computeNextPace(scheduler: Scheduler, worker: WorkerEntry, latencyShare: number): number {
    const now = scheduler.clock();
    if (latencyShare > HIGH_LATENCY_SHARE) {
        worker.bestEffortPaceChangedAt = now;
        const slowed = Math.floor(worker.bestEffortPacePercent * SLOWDOWN_FACTOR);
        return slowed < MIN_PACE_PERCENT ? 0 : slowed;
    }
    if (latencyShare < LOW_LATENCY_SHARE && now - worker.bestEffortPaceChangedAt >= RAISE_INTERVAL_MS) {
        worker.bestEffortPaceChangedAt = now;
        return Math.min(100, worker.bestEffortPacePercent + RAISE_STEP_PERCENT);
    }
    return worker.bestEffortPacePercent;
}

function setPace(scheduler: Scheduler, run: Run, percent: number): void {
    const before = run.pacePercent;
    run.pacePercent = percent;
    run.wasPaced = true;
    const order = { task: run.task.name, run: run.number, fence: scheduler.ownership.revision, percent };
    scheduler.spawn(async () => {
        const sent = describeSentOrder(scheduler, run.worker);
        const outcome = await scheduler.workers.pace(run.worker, order);
        if (outcome.kind === "done") {
            applyOrderAnswer(scheduler, run.worker, outcome.clockMs, sent);
        }
        scheduler.log.info("The pace of a run is ordered.", {
            ...run.task.name,
            worker: run.worker.id,
            before,
            percent,
            outcome: outcome.kind,
        });
        if (outcome.kind !== "done") {
            scheduler.metrics.orderFaults.inc({ order: "pace", reason: outcome.kind });
            run.pacePercent = Number.NaN;
        }
    });
}
