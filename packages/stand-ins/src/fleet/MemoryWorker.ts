import type {
    EndedRun,
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
export class MemoryWorker {
    /** Faults that the next starts and stops meet, the first one first. */
    readonly orderFaults: OrderFault[] = [];
    /** Whether no call arrives. */
    isCut = false;
    /** Starts that were carried out, in order. */
    readonly starts: {
        readonly task: TaskName;
        readonly run: number;
        readonly checkpoint: string;
        readonly ticket: string;
    }[] = [];
    readonly running = new Map<string, RunningTask>();
    /** Ends that were forgotten because the owner said so. */
    forgotten = 0;
    fence = 0;
    leaseUntilMs = 0;
    isDraining = false;
    /** Least time until it leaves while it drains, in milliseconds. */
    remainingMs = 0;
    private ends: EndedRun[] = [];
    private endCount = 0;
    private readonly outlawed = new Map<string, number>();
    private readonly late: (() => void)[] = [];

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
        return this.meetFault(() => this.carryOutStart(order));
    }

    stop(order: StopOrder): OrderOutcome {
        return this.meetFault(() => this.carryOutStop(order));
    }

    pace({ task, percent }: PaceOrder): OrderOutcome {
        const run = this.running.get(taskText(task));
        if (run !== undefined) {
            run.pace = percent;
        }
        return { kind: "done", clockMs: this.clock() };
    }

    hold(order: HoldOrder): HoldOutcome {
        if (this.isCut) {
            return { kind: "unclear", cause: "cut" };
        }
        if (order.fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = order.fence;
        this.expire();
        this.extend(order.leaseUntilMs);
        const before = this.ends.length;
        this.ends = this.ends.filter(end => end.number > order.lastDurableEnd);
        this.forgotten += before - this.ends.length;
        const running = [...this.running.values()].map(run => ({ ...run }));
        return {
            kind: "held",
            answer: {
                clockMs: this.clock(),
                bornMs: this.report.bornMs,
                running,
                ended: [...this.ends],
            },
        };
    }

    /** Ends a run as it would by itself. */
    finish(task: string, how: RunEndKind, checkpoint = ""): void {
        const run = this.running.get(task);
        if (run === undefined) {
            throw new Error(`The task '${task}' does not run on the worker '${this.id}'.`);
        }
        this.running.delete(task);
        this.outlaw(task, run.run);
        this.endCount += 1;
        this.ends.push({ number: this.endCount, task: run.task, run: run.run, how, checkpoint });
    }

    /** Carries out the orders that were kept back. */
    releaseLate(): void {
        this.late.splice(0).forEach(act => act());
    }

    /** Ends everything whose lease has run out. */
    expire(): void {
        if (this.clock() >= this.leaseUntilMs) {
            [...this.running.keys()].forEach(task => this.finish(task, "lapsed"));
        }
    }

    private meetFault(act: () => OrderOutcome): OrderOutcome {
        const fault = this.orderFaults.shift();
        if (this.isCut) {
            return { kind: "unclear", cause: "cut" };
        }
        switch (fault) {
            case "refused":
                return { kind: "unhealthy", status: 503 };
            case "late":
                this.late.push(act);
                return { kind: "unclear", cause: "late" };
            case "lost-answer":
                act();
                return { kind: "unclear", cause: "lost" };
            case undefined:
                return act();
        }
    }

    private carryOutStart(order: StartOrder): OrderOutcome {
        const clockMs = this.clock();
        const name = taskText(order.task);
        if (order.fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = order.fence;
        if (order.leaseUntilMs <= clockMs) {
            return { kind: "late", clockMs };
        }
        this.extend(order.leaseUntilMs);
        const present = this.running.get(name);
        if (present?.run === order.run) {
            return { kind: "done", clockMs };
        }
        if (present !== undefined || (this.outlawed.get(name) ?? 0) >= order.run) {
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

    private carryOutStop({ task, run, fence }: StopOrder): OrderOutcome {
        const clockMs = this.clock();
        const name = taskText(task);
        if (fence < this.fence) {
            return { kind: "fenced" };
        }
        this.fence = fence;
        if (this.running.get(name)?.run === run) {
            this.finish(name, "stopped");
        }
        this.outlaw(name, run);
        return { kind: "done", clockMs };
    }

    private extend(leaseUntilMs: number | undefined): void {
        this.leaseUntilMs = Math.max(this.leaseUntilMs, leaseUntilMs ?? 0);
    }

    private outlaw(name: string, run: number): void {
        this.outlawed.set(name, Math.max(this.outlawed.get(name) ?? 0, run));
    }
}

/**
 * Returns the text by which tests name a task.
 *
 * @param name - The task.
 * @returns Job, occurrence, step and index, divided by dots.
 */
export function taskText({ job, occurrence, step, index }: TaskName): string {
    return `${job}.${occurrence}.${step}.${index}`;
}
