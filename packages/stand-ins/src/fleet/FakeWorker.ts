import type {
    EndedRow,
    EndKind,
    HoldOrder,
    HoldOutcome,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    TaskName,
    WorkerId,
    WorkerReport,
} from "@balsamward/scheduler";

/** A fault that the next order meets. */
export type OrderFault =
    /** The order is carried out, and its answer is lost. */
    | "lost-answer"
    /** The order is neither answered nor carried out yet; `releaseLate` does it. */
    | "late"
    /** Nothing is done. */
    | "refused";

type RunningTask = {
    readonly task: TaskName;
    readonly run: number;
    checkpoint: string;
    percent: number;
    /** Tail of the response time, or the processor time in use. */
    load: number;
    /** Share of its speed at which it was told to work. */
    pace: number;
};

/**
 * A stand-in for a worker: it starts and stops runs under a lease, refuses older owners, and lists ends
 * until it is told to forget them.
 */
export class FakeWorker {
    /** Faults that the next starts and stops meet, the first one first. */
    readonly orderFaults: OrderFault[] = [];
    /** Whether no call arrives. */
    isDisconnected = false;
    /** Starts that were carried out, in order. */
    readonly starts: {
        readonly task: TaskName;
        readonly run: number;
        readonly checkpoint: string;
        readonly ticket: string;
    }[] = [];
    readonly running = new Map<string, RunningTask>();
    /** Ends that were forgotten because the owner said so. */
    forgottenEndCount = 0;
    fence = 0;
    leaseUntilMs = 0;
    isDraining = false;
    /** Least time until it leaves while it drains, in milliseconds. */
    remainingMs = 0;
    private endedRuns: EndedRow[] = [];
    private lastEndNumber = 0;
    private readonly highestRejectedRuns = new Map<string, number>();
    private readonly delayedOrders: (() => void)[] = [];

    /**
     * Creates a worker on which nothing runs.
     *
     * @param report - What it says of itself.
     * @param clock - Returns its clock in milliseconds.
     */
    constructor(readonly report: WorkerReport, private readonly clock: () => number) {}

    get id(): WorkerId {
        return this.report.id;
    }

    start(order: StartOrder): OrderOutcome {
        return this.executeWithFault(() => this.executeStart(order));
    }

    stop(order: StopOrder): OrderOutcome {
        return this.executeWithFault(() => this.executeStop(order));
    }

    pace({ task, percent }: PaceOrder): OrderOutcome {
        const run = this.running.get(formatTaskName(task));
        if (run !== undefined) {
            run.pace = percent;
        }
        return { kind: "done", clockMs: this.clock() };
    }

    hold(order: HoldOrder): HoldOutcome {
        if (this.isDisconnected) {
            return { kind: "unclear", cause: "cut" };
        }
        if (order.fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = order.fence;
        this.endExpiredRuns();
        this.extendLease(order.leaseUntilMs);
        const previousEndCount = this.endedRuns.length;
        this.endedRuns = this.endedRuns.filter(end => end.number > order.endsKept);
        this.forgottenEndCount += previousEndCount - this.endedRuns.length;
        const running = [...this.running.values()].map(run => ({ ...run }));
        return {
            kind: "held",
            answer: {
                clockMs: this.clock(),
                bornMs: this.report.bornMs,
                running,
                ended: [...this.endedRuns],
            },
        };
    }

    /** Ends a run as it would by itself. */
    endRun(task: string, how: EndKind, checkpoint = ""): void {
        const run = this.running.get(task);
        if (run === undefined) {
            throw new Error(`The task '${task}' does not run on the worker '${this.id}'.`);
        }
        this.running.delete(task);
        this.rejectRunsUpTo(task, run.run);
        this.lastEndNumber += 1;
        this.endedRuns.push({ number: this.lastEndNumber, task: run.task, run: run.run, how, checkpoint });
    }

    /** Carries out the orders that were kept back. */
    executeDelayedOrders(): void {
        this.delayedOrders.splice(0).forEach(act => act());
    }

    /** Ends everything whose lease has run out. */
    endExpiredRuns(): void {
        if (this.clock() >= this.leaseUntilMs) {
            [...this.running.keys()].forEach(task => this.endRun(task, "lapsed"));
        }
    }

    private executeWithFault(execute: () => OrderOutcome): OrderOutcome {
        const fault = this.orderFaults.shift();
        if (this.isDisconnected) {
            return { kind: "unclear", cause: "cut" };
        }
        switch (fault) {
            case "refused":
                return { kind: "unhealthy", status: 503 };
            case "late":
                this.delayedOrders.push(execute);
                return { kind: "unclear", cause: "late" };
            case "lost-answer":
                execute();
                return { kind: "unclear", cause: "lost" };
            case undefined:
                return execute();
        }
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
        if (current !== undefined || (this.highestRejectedRuns.get(name) ?? 0) >= order.run) {
            return { kind: "old-run", clockMs };
        }
        this.running.set(name, {
            task: order.task,
            run: order.run,
            checkpoint: order.checkpoint,
            percent: 0,
            load: 0,
            pace: 100,
        });
        this.starts.push({
            task: order.task,
            run: order.run,
            checkpoint: order.checkpoint,
            ticket: order.ticket,
        });
        return { kind: "done", clockMs };
    }

    private executeStop({ task, run, fence }: StopOrder): OrderOutcome {
        const clockMs = this.clock();
        const name = formatTaskName(task);
        if (fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = fence;
        if (this.running.get(name)?.run === run) {
            this.endRun(name, "stopped");
        }
        this.rejectRunsUpTo(name, run);
        return { kind: "done", clockMs };
    }

    private extendLease(leaseUntilMs: number | undefined): void {
        this.leaseUntilMs = Math.max(this.leaseUntilMs, leaseUntilMs ?? 0);
    }

    private rejectRunsUpTo(name: string, run: number): void {
        this.highestRejectedRuns.set(name, Math.max(this.highestRejectedRuns.get(name) ?? 0, run));
    }
}

/**
 * Returns the text by which tests name a task.
 *
 * @param name - The task.
 * @returns Job, occurrence, step and index, divided by dots.
 */
export function formatTaskName({ job, occurrence, step, index }: TaskName): string {
    return `${job}.${occurrence}.${step}.${index}`;
}
