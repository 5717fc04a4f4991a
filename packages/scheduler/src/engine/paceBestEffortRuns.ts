import type { Run } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Scheduler } from "./Scheduler.js";

/** Share of its target above which a serving task's tail slows what fills beside it. */
const HIGH_LATENCY_SHARE = 0.9;

/** Share of its target below which what fills is let work faster. */
const LOW_LATENCY_SHARE = 0.7;

/** Factor by which filling work is slowed. */
const SLOWDOWN_FACTOR = 0.5;

/** Step by which filling work is let work faster, in percent. */
const RAISE_STEP_PERCENT = 10;

/** Pace below which filling work is halted, in percent. */
const MIN_PACE_PERCENT = 10;

/** Shortest time between two raises on a worker in milliseconds. */
const RAISE_INTERVAL_MS = 1_000;

/**
 * Lets work that fills idle capacity work at the speed that the serving tasks beside it allow: slowed
 * at once when a response time nears its target, and faster by small steps afterwards.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker, which has just told the response times.
 */
export function paceBestEffortRuns(scheduler: Scheduler, worker: WorkerEntry): void {
    const running = [...worker.runs].filter(run => run.phase === "running");
    const bestEffort = running.filter(run => run.task.step.spec.fillsIdle);
    const serving = running.filter(run => run.task.step.spec.tailTargetMs > 0);
    if (bestEffort.length === 0) {
        return;
    }
    const latencyShare = Math.max(0, ...serving.map(run => run.load / run.task.step.spec.tailTargetMs));
    const pace = nextPace(scheduler, worker, latencyShare);
    worker.fillPace = pace;
    bestEffort.filter(run => run.pacedTo !== pace).forEach(run => setPace(scheduler, run, pace));
}

function nextPace(scheduler: Scheduler, worker: WorkerEntry, latencyShare: number): number {
    const now = scheduler.clock();
    if (latencyShare > HIGH_LATENCY_SHARE) {
        worker.fillRaisedAt = now;
        const slowed = Math.floor(worker.fillPace * SLOWDOWN_FACTOR);
        return slowed < MIN_PACE_PERCENT ? 0 : slowed;
    }
    if (latencyShare < LOW_LATENCY_SHARE && now - worker.fillRaisedAt >= RAISE_INTERVAL_MS) {
        worker.fillRaisedAt = now;
        return Math.min(100, worker.fillPace + RAISE_STEP_PERCENT);
    }
    return worker.fillPace;
}

function setPace(scheduler: Scheduler, run: Run, percent: number): void {
    const before = run.pacedTo;
    run.pacedTo = percent;
    const order = { task: run.task.name, run: run.number, fence: scheduler.ownership.revision, percent };
    scheduler.spawn(async () => {
        const outcome = await scheduler.workers.pace(run.worker, order);
        scheduler.log.info("A run is paced.", {
            ...run.task.name,
            worker: run.worker.id,
            before,
            percent,
            outcome: outcome.kind,
        });
        if (outcome.kind !== "done") {
            scheduler.metrics.orderFaults.inc({ order: "pace", reason: outcome.kind });
            run.pacedTo = Number.NaN;
        }
    });
}
