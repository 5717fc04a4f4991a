import type { Resources } from "@balsamward/schema/scheduling";
import type { TaskName, WorkerId } from "../ids.js";

/** A worker's description of itself in the platform's list. */
export type WorkerReport = {
    readonly id: WorkerId;
    /** Address as `IP:port`. */
    readonly address: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly draining: boolean;
    /** Shortest time until a draining worker leaves, in milliseconds. */
    readonly remainingMs: number;
    /** Wall time at which this incarnation of the worker started, in milliseconds since 1970; 0 if unknown. */
    readonly bornMs: number;
    /** Time for which the worker is slow after its start, in milliseconds; 0 if it is not. */
    readonly coldMs: number;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Rack of the worker, which is also one of its labels; empty if unknown. */
    readonly rack: string;
    /** Machine on which the worker runs; empty if unknown. */
    readonly machine: string;
};

/** The worker to call. A call that reaches another incarnation at the same address is refused. */
export type WorkerTarget = { readonly id: WorkerId; readonly address: string };

/** An order to start a run of a task. */
export type StartOrder = {
    readonly task: TaskName;
    readonly run: number;
    readonly spec: string;
    /** End of the worker's lease on the worker's clock, in whole milliseconds; everything on it may run until then. */
    readonly leaseUntilMs: number;
    /** Fencing token: the revision at which the owner's term began. */
    readonly fence: number;
    /** Checkpoint from which the task resumes; empty to start from the beginning. */
    readonly checkpoint: string;
    /** Ticket of the advice service; empty if the queue needs none. */
    readonly ticket: string;
};

/** An order to stop a run. */
export type StopOrder = { readonly task: TaskName; readonly run: number; readonly fence: number };

/** An order to set the pace of a run, in percent of its full speed. */
export type PaceOrder = StopOrder & { readonly percent: number };

/** A hold call: extends the worker's lease, acknowledges ended runs, and requests the lists of runs. */
export type HoldOrder = {
    readonly fence: number;
    /** Number of the last end whose effect is durable; the worker may discard the ends up to it; 0 for none. */
    readonly lastDurableEnd: number;
    /** New end of the lease on the worker's clock, in milliseconds; `undefined` leaves the lease unchanged. */
    readonly leaseUntilMs: number | undefined;
    /** Longest time for which the worker waits for a run to end before it answers, in milliseconds. */
    readonly waitMs: number;
};

/** A run that a worker lists as running. */
export type RunningRun = {
    readonly task: TaskName;
    readonly run: number;
    readonly checkpoint: string;
    /** Percentage of the work that is done; for a lasting task, 100 as soon as it is in service. */
    readonly percent: number;
    /** Tail response time of a serving task in milliseconds; for any other task, thousandths of a core in use. */
    readonly load: number;
};

/** How a run ended; `lapsed` if it ended with the worker's lease. Only `failed` counts as a failure of the task. */
export type RunEndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** A run that a worker lists as ended. */
export type EndedRun = {
    /** Number of the end; a worker numbers its ends in ascending order. */
    readonly number: number;
    readonly task: TaskName;
    readonly run: number;
    readonly how: RunEndKind;
    readonly checkpoint: string;
};

/** A worker's answer to a hold. */
export type HoldAnswer = {
    /** The worker's clock in milliseconds. */
    readonly clockMs: number;
    /** Wall time at which this incarnation started, in milliseconds since 1970; 0 if unknown. */
    readonly bornMs: number;
    readonly running: readonly RunningRun[];
    /** The ends that are not acknowledged, the oldest first. */
    readonly ended: readonly EndedRun[];
    /** Whether `ended` is complete; otherwise, further ends are listed once these are acknowledged. */
    readonly listsAllEnds: boolean;
};

/** Reasons for which a call to a worker has had no effect. */
export type Refusal =
    /** The worker has received a call of a newer owner. */
    | { readonly kind: "fenced" }
    /** Another incarnation of the worker has the address. */
    | { readonly kind: "other-life" }
    /** The worker is unhealthy. */
    | { readonly kind: "unhealthy"; readonly status: number }
    /** The run number has already been used up. */
    | { readonly kind: "old-run"; readonly clockMs: number }
    /** The lease end in the order has already passed. */
    | { readonly kind: "late"; readonly clockMs: number }
    /** The worker does not have enough free resources. */
    | { readonly kind: "no-room"; readonly clockMs: number }
    /** The ticket of the advice service is invalid. */
    | { readonly kind: "bad-ticket"; readonly clockMs: number }
    /** The worker rejects the order as malformed. */
    | { readonly kind: "invalid"; readonly status: number }
    /** No connection to the worker could be opened. */
    | { readonly kind: "unreachable"; readonly cause: string };

/** Outcome of an order. */
export type OrderOutcome =
    | { readonly kind: "done"; readonly clockMs: number }
    | Refusal
    /** The outcome is unknown: the order may have been executed, or may still be. */
    | { readonly kind: "unclear"; readonly cause: string };

/** Outcome of a hold. */
export type HoldOutcome =
    | { readonly kind: "held"; readonly answer: HoldAnswer }
    | Refusal
    | { readonly kind: "unclear"; readonly cause: string };

/** Client of the workers; each call has a deadline of its own. */
export type WorkerPort = {
    readonly start: (target: WorkerTarget, order: StartOrder) => Promise<OrderOutcome>;
    readonly stop: (target: WorkerTarget, order: StopOrder) => Promise<OrderOutcome>;
    readonly pace: (target: WorkerTarget, order: PaceOrder) => Promise<OrderOutcome>;
    readonly hold: (target: WorkerTarget, order: HoldOrder, signal: AbortSignal) => Promise<HoldOutcome>;
    /** Closes the open connections to an address. */
    readonly closeConnections: (address: string) => void;
};
