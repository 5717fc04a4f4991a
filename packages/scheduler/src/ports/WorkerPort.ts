import type { Resources } from "@balsamward/schema/scheduling";
import type { TaskName, WorkerId } from "../ids.js";

/** A worker as it describes itself in the platform's list. */
export type WorkerReport = {
    readonly id: WorkerId;
    /** Address as `IP:port`. */
    readonly address: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly draining: boolean;
    /** Least time until a draining worker leaves, in milliseconds. */
    readonly remainingMs: number;
    /** Milliseconds since 1970 at which this life of the worker began; 0 if it is not stated. */
    readonly bornMs: number;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Rack, which stands among the labels; empty if none is stated. */
    readonly rack: string;
    /** Machine on which the worker lives; empty if it is not stated. */
    readonly machine: string;
};

/** The worker's identity for a call: a call to another life under the same address is refused. */
export type WorkerTarget = { readonly id: WorkerId; readonly address: string };

/** An order to run a task. */
export type StartOrder = {
    readonly task: TaskName;
    readonly run: number;
    readonly spec: string;
    /** Time on the worker's clock until which everything on it may run, in whole milliseconds. */
    readonly leaseUntilMs: number;
    readonly fence: number;
    readonly checkpoint: string;
    /** Permission of the advice service; empty if the queue needs none. */
    readonly ticket: string;
};

/** An order to stop a run. */
export type StopOrder = { readonly task: TaskName; readonly run: number; readonly fence: number };

/** An order to let a task work at a share of its speed. */
export type PaceOrder = StopOrder & { readonly percent: number };

/** Renews the lease of everything on a worker, forgets ends, and asks for what runs. */
export type HoldOrder = {
    readonly fence: number;
    /** Ends up to this number are durable and may be forgotten. */
    readonly lastDurableEnd: number;
    /** Time on the worker's clock; `undefined` leaves the lease as it is. */
    readonly leaseUntilMs: number | undefined;
    /** How long the worker waits for an end before it answers, in milliseconds. */
    readonly waitMs: number;
};

/** A run that a worker lists as running. */
export type RunningRun = {
    readonly task: TaskName;
    readonly run: number;
    readonly checkpoint: string;
    /** Share of the work that is done; for a lasting task 100 when it is at work. */
    readonly percent: number;
    /** Tail of the response time in milliseconds of a serving task; thousandths of a core for any other. */
    readonly load: number;
};

/** How a run ended. */
export type RunEndKind = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** A run that a worker lists as ended. */
export type EndedRun = {
    readonly number: number;
    readonly task: TaskName;
    readonly run: number;
    readonly how: RunEndKind;
    readonly checkpoint: string;
};

/** What a worker lists. */
export type HoldAnswer = {
    readonly clockMs: number;
    readonly bornMs: number;
    readonly running: readonly RunningRun[];
    readonly ended: readonly EndedRun[];
};

/** Why a call to a worker has certainly had no effect. */
export type Refusal =
    /** A newer owner has called the worker. */
    | { readonly kind: "fenced" }
    /** The address belongs to another life of the worker. */
    | { readonly kind: "other-life" }
    /** The worker is unhealthy. */
    | { readonly kind: "unhealthy"; readonly status: number }
    /** The run number was used up. */
    | { readonly kind: "old-run"; readonly clockMs: number }
    /** The lease time of the order has passed. */
    | { readonly kind: "late"; readonly clockMs: number }
    | { readonly kind: "no-room"; readonly clockMs: number }
    | { readonly kind: "bad-ticket"; readonly clockMs: number }
    /** The worker does not understand the order. */
    | { readonly kind: "invalid"; readonly status: number }
    /** No connection could be opened. */
    | { readonly kind: "unreachable"; readonly cause: string };

/** The outcome of an order. */
export type OrderOutcome =
    | { readonly kind: "done"; readonly clockMs: number }
    | Refusal
    /** The order may have been carried out, or may be carried out later. */
    | { readonly kind: "unclear"; readonly cause: string };

/** The outcome of a hold. */
export type HoldOutcome =
    | { readonly kind: "held"; readonly answer: HoldAnswer }
    | Refusal
    | { readonly kind: "unclear"; readonly cause: string };

/** Calls of workers; each ends within a deadline of its own. */
export type WorkerPort = {
    readonly start: (target: WorkerTarget, order: StartOrder) => Promise<OrderOutcome>;
    readonly stop: (target: WorkerTarget, order: StopOrder) => Promise<OrderOutcome>;
    readonly pace: (target: WorkerTarget, order: PaceOrder) => Promise<OrderOutcome>;
    readonly hold: (target: WorkerTarget, order: HoldOrder, signal: AbortSignal) => Promise<HoldOutcome>;
    /** Closes the connections to an address. */
    readonly closeConnections: (address: string) => void;
};
