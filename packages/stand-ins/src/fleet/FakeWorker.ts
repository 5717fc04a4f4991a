import type {
    HoldOrder,
    HoldOutcome,
    OrderOutcome,
    PaceOrder,
    RunEndKind,
    StartOrder,
    StopOrder,
    TaskName,
    WorkerId,
    WorkerReport,
} from "@balsamward/scheduler";
import { EndedRunRecord } from "./EndedRunRecord.js";
import type { ExecutedStart } from "./ExecutedStart.js";
import { executeWithFault } from "./executeWithFault.js";
import { formatTaskName } from "./formatTaskName.js";
import type { TaskRequest } from "./isOverCapacity.js";
import { isOverCapacity } from "./isOverCapacity.js";
import type { OrderFault } from "./OrderFault.js";
import type { RunningTask } from "./RunningTask.js";

/** Longest lease that a worker grants, in milliseconds; a longer one is shortened. */
const MAX_LEASE_MS = 10_000;

/**
 * A fake worker in memory. It starts and stops runs under a lease, rejects orders of earlier owners, and
 * reports each ended run until the owner acknowledges it.
 */
export class FakeWorker {
    /** Faults of the next starts and stops, in order; later orders have none. */
    readonly orderFaults: OrderFault[] = [];
    /** Number of holds that will be executed without an answer reaching the caller. */
    unansweredHoldCount = 0;
    /** Time that a run takes to end after it is stopped, in milliseconds. */
    stopDurationMs = 0;
    /** Whether the worker is unreachable: start, stop and hold calls do not arrive. */
    isDisconnected = false;
    /** Tasks that crash a worker, by name, each with the time from its start to the crash, in milliseconds. */
    deadlyTasks: ReadonlyMap<string, number> = new Map();
    /** Time for which the worker is down after a crash, in milliseconds. */
    downtimeMs = 3_000;
    /** Number of crashes. */
    crashCount = 0;
    /** Executed starts, in order. */
    readonly starts: ExecutedStart[] = [];
    /** Running tasks by name, see `formatTaskName`. */
    readonly running = new Map<string, RunningTask>();
    /** Number of ended runs that were dropped after the owner acknowledged them. */
    forgottenEndCount = 0;
    /** Maximum number of ended runs in an answer to a hold; the oldest ones are listed. */
    maxListedEnds = Number.POSITIVE_INFINITY;
    /** Highest fencing number seen; orders with a lower one are rejected. */
    fence = 0;
    /** Time on the worker's clock at which the lease of its runs expires, in milliseconds. */
    leaseUntilMs = 0;
    /** Wall time at which the current incarnation started, in milliseconds since 1970. */
    bornMs: number;
    /** `bornMs` of the incarnation that last registered with the platform. */
    registeredBornMs: number;
    /** Resources of the worker. */
    capacity: WorkerReport["capacity"];
    /** Resources that the platform lists for the worker; its own, unless a test tells others. */
    listedCapacity: WorkerReport["capacity"] | undefined;
    /** Whether the worker refuses a start that would bring it over its capacity, instead of executing it. */
    guardsCapacity = false;
    /** Returns what a task needs; nothing, unless a test tells it. */
    getRequest: (task: TaskName) => TaskRequest = () => ({});
    /** Names of the tasks whose start brought the worker over its capacity, in order. */
    readonly startsOverCapacity: string[] = [];
    isDraining = false;
    /** Minimum time until a draining worker leaves, in milliseconds. */
    remainingMs = 0;
    private endedRuns = new EndedRunRecord();
    private readonly delayedOrders: (() => void)[] = [];
    /** Monotonic times at which the runs that are being stopped end, in milliseconds, by name of the task. */
    private readonly stopTimes = new Map<string, number>();
    /** Monotonic time at which the clock of the current incarnation reads 0, in milliseconds. */
    private clockStartedAt = 0;
    /** Monotonic time at which the worker is back from a crash, in milliseconds; `undefined` while it is up. */
    private backAt: number | undefined;

    /**
     * Creates a worker on which nothing runs.
     *
     * @param report - The worker's description of itself.
     * @param monotonicClock - Returns the monotonic time in milliseconds; the first incarnation's clock reads the same.
     */
    constructor(readonly report: WorkerReport, private readonly monotonicClock: () => number) {
        this.bornMs = report.bornMs;
        this.registeredBornMs = report.bornMs;
        this.capacity = report.capacity;
    }

    /** Returns the worker's id. */
    get id(): WorkerId {
        return this.report.id;
    }

    /** Returns whether the worker has crashed and is not back. */
    get isDown(): boolean {
        return this.backAt !== undefined;
    }

    /** Executes a start order, subject to the next fault. */
    start(order: StartOrder): OrderOutcome {
        return this.executeOrder(() => this.executeStart(order));
    }

    /** Executes a stop order, subject to the next fault. */
    stop(order: StopOrder): OrderOutcome {
        return this.executeOrder(() => this.executeStop(order));
    }

    /** Sets the speed of a running task; has no effect if the task does not run. */
    pace({ task, percent }: PaceOrder): OrderOutcome {
        const run = this.running.get(formatTaskName(task));
        if (run !== undefined) {
            run.pace = percent;
        }
        return { kind: "done", clockMs: this.clock() };
    }

    /** Extends the lease, drops acknowledged ends, and reports the running and the ended runs. */
    hold(order: HoldOrder): HoldOutcome {
        if (this.isDisconnected || this.isDown) {
            return { kind: "unclear", cause: "cut" };
        }
        if (order.fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = order.fence;
        this.endExpiredRuns();
        this.endStoppedRuns();
        this.extendLease(order.leaseUntilMs);
        this.forgottenEndCount += this.endedRuns.acknowledge(order.lastDurableEnd);
        if (this.unansweredHoldCount > 0) {
            this.unansweredHoldCount -= 1;
            return { kind: "unclear", cause: "lost" };
        }
        return {
            kind: "held",
            answer: {
                clockMs: this.clock(),
                bornMs: this.bornMs,
                running: [...this.running.values()].map(run => ({ ...run })),
                ...this.endedRuns.list(this.maxListedEnds),
            },
        };
    }

    /** Crashes and starts again under the same id and address; nothing is remembered, and all counts start anew. */
    restart(): void {
        this.bornMs += 1;
        this.clockStartedAt = this.monotonicClock();
        this.running.clear();
        this.stopTimes.clear();
        this.delayedOrders.splice(0);
        this.endedRuns = new EndedRunRecord();
        this.fence = 0;
        this.leaseUntilMs = 0;
    }

    /** Crashes; the worker is back as a new incarnation after `downtimeMs`. */
    crash(): void {
        this.crashCount += 1;
        this.running.clear();
        this.backAt = this.monotonicClock() + this.downtimeMs;
    }

    /** Crashes if a deadly task has run for its time, and is back as a new incarnation if its downtime is over. */
    advanceCrash(): void {
        const now = this.monotonicClock();
        if (this.backAt !== undefined && this.backAt <= now) {
            this.backAt = undefined;
            this.restart();
            this.register();
        }
        const isDeadly = [...this.running].some(([task, { startedAt }]) =>
            startedAt + (this.deadlyTasks.get(task) ?? Number.POSITIVE_INFINITY) <= now
        );
        if (isDeadly) {
            this.crash();
        }
    }

    /** Registers the current incarnation with the platform. */
    register(): void {
        this.registeredBornMs = this.bornMs;
    }

    /**
     * Ends the run of a task from the worker's side.
     *
     * @param task - The task's name, see `formatTaskName`.
     * @param how - How the run ends.
     * @param checkpoint - The last checkpoint of the run.
     * @throws If the task does not run on this worker.
     */
    endRun(task: string, how: RunEndKind, checkpoint = ""): void {
        this.stopTimes.delete(task);
        const run = this.running.get(task);
        if (run === undefined) {
            throw new Error(
                `The task '${task}' does not run on the worker '${this.id}'. Check its name or start it first.`,
            );
        }
        this.running.delete(task);
        this.endedRuns.add({ task: run.task, run: run.run, how, checkpoint });
    }

    /** Executes the orders delayed by the fault `late`. */
    executeDelayedOrders(): void {
        this.delayedOrders.splice(0).forEach(act => act());
    }

    /** Ends all runs with `lapsed` if the worker's lease has expired. */
    endExpiredRuns(): void {
        if (this.clock() >= this.leaseUntilMs) {
            [...this.running.keys()].forEach(task => this.endRun(task, "lapsed"));
        }
    }

    private clock(): number {
        return this.monotonicClock() - this.clockStartedAt;
    }

    private executeOrder(execute: () => OrderOutcome): OrderOutcome {
        const fault = this.orderFaults.shift();
        return this.isDisconnected || this.isDown
            ? { kind: "unclear", cause: "cut" }
            : executeWithFault(fault, execute, this.delayedOrders);
    }

    private executeStart(order: StartOrder): OrderOutcome {
        const clockMs = this.clock();
        const name = formatTaskName(order.task);
        if (order.fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = order.fence;
        if (order.leaseUntilMs <= clockMs) {
            return { kind: "late", clockMs };
        }
        this.extendLease(order.leaseUntilMs);
        const current = this.running.get(name);
        if (current?.run === order.run) {
            return { kind: "done", clockMs };
        }
        if (current !== undefined || this.endedRuns.isRejected(name, order.run)) {
            return { kind: "old-run", clockMs };
        }
        const { task, run, spec, checkpoint, ticket } = order;
        const requests = [...this.running.values(), order].map(started => this.getRequest(started.task));
        const exceedsCapacity = isOverCapacity(requests, this.capacity);
        if (exceedsCapacity && this.guardsCapacity) {
            return { kind: "no-room", clockMs };
        }
        const startedAt = this.monotonicClock();
        this.running.set(name, { task, run, checkpoint, percent: 0, load: 0, pace: 100, startedAt });
        this.starts.push({ task, run, spec, checkpoint, ticket });
        if (exceedsCapacity) {
            this.startsOverCapacity.push(name);
        }
        if (this.deadlyTasks.get(name) === 0) {
            this.crash();
            return { kind: "unclear", cause: "crashed" };
        }
        return { kind: "done", clockMs };
    }

    private executeStop({ task, run, fence }: StopOrder): OrderOutcome {
        const clockMs = this.clock();
        const name = formatTaskName(task);
        if (fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = fence;
        if (this.running.get(name)?.run === run && !this.stopTimes.has(name)) {
            this.stopTimes.set(name, this.monotonicClock() + this.stopDurationMs);
        }
        this.endStoppedRuns();
        this.endedRuns.rejectRunsUpTo(name, run);
        return { kind: "done", clockMs };
    }

    private endStoppedRuns(): void {
        for (const [name, stopAt] of this.stopTimes) {
            if (stopAt <= this.monotonicClock()) {
                this.endRun(name, "stopped");
            }
        }
    }

    private extendLease(leaseUntilMs: number | undefined): void {
        const latestMs = this.clock() + MAX_LEASE_MS;
        this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(leaseUntilMs ?? 0, latestMs));
    }
}
