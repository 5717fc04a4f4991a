import PQueue from "p-queue";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { OrderTiming } from "./adaptWindow.js";
import { adaptWindow } from "./adaptWindow.js";

/** Kind of an order, which decides what is sent first. */
export type OrderKind = "stop" | "start";

/** Sends an order; see `OrderQueue.add`. */
type Send = () => Promise<boolean | undefined>;

/** Queue of the orders to workers. */
export type OrderQueue = {
    /**
     * Sends an order to a worker once fewer orders are in flight, to it and in all, than are allowed; stops are sent
     * before starts. Stops to workers that have not answered the last order have a limit of their own, so that they
     * take no turn from other orders.
     *
     * The send returns whether it was answered, or `undefined` if it found that the order is no longer needed.
     */
    readonly add: (
        kind: OrderKind,
        worker: WorkerEntry,
        send: Send,
    ) => Promise<void>;
    /** Returns how many starts may be added now so that each is sent without a long wait. */
    readonly countFreeStarts: () => number;
    /** Returns how many added starts have not been sent yet, without those that wait for a silent worker. */
    readonly countWaitingStarts: () => number;
    /** Requests one call of `onFree` once so many starts may be added, or none waits; 0 withdraws the request. */
    readonly awaitFreeStarts: (count: number) => void;
};

/** Dependencies of `createOrderQueue`. */
export type OrderQueueDependencies = {
    /** Returns the monotonic time in milliseconds. */
    readonly clock: () => number;
    /** Called once as many starts may be added as `awaitFreeStarts` asked for. */
    readonly onFree: () => void;
};

/** Number of orders in flight at the beginning. */
const INITIAL_WINDOW = 16;

/** Number of orders in flight to one worker, so that a silent one takes little of the window. */
const MAX_ORDERS_PER_WORKER = 2;

/**
 * Time without an answer after which a worker counts as silent, in milliseconds. Starts that wait behind its orders do
 * not delay others.
 */
const SILENCE_MS = 200;

/** Number of stops in flight to workers that have not answered the last order. */
const MAX_UNANSWERED_STOPS = 8;

/** Number of waiting starts for each order in flight; enough for the next one to be sent at once. */
const WAITING_STARTS_PER_ORDER = 1;

/** Orders to one worker that have not ended. */
type WorkerOrders = {
    readonly queue: PQueue;
    /** Number of starts that have not been sent. */
    waitingStarts: number;
    /** Monotonic times at which the orders in flight were sent, in milliseconds; the earliest first. */
    readonly sendTimes: number[];
};

const PRIORITIES: Readonly<Record<OrderKind, number>> = { stop: 1, start: 0 };

/**
 * Creates a queue that limits how many orders are in flight by how fast they are answered.
 *
 * An overloaded owner that sends more orders than it can read the answers of lets all of them time out. The window
 * shrinks with the latency of the answers, so that the owner orders less, but each order is answered.
 *
 * @param dependencies - The clock, and the callback for a queue that has room again.
 * @returns The queue, without orders.
 *
 * @example
 * const queue = createOrderQueue({ clock: () => performance.now(), onFree: () => {} });
 * await queue.add("start", worker, async () => (await workers.start(worker, order)).kind !== "unclear");
 */
export function createOrderQueue({ clock, onFree }: OrderQueueDependencies): OrderQueue {
    const queue = new PQueue({ concurrency: INITIAL_WINDOW });
    const unansweredStops = new PQueue({ concurrency: MAX_UNANSWERED_STOPS });
    const unansweredWorkers = new WeakSet<WorkerEntry>();
    const ordersByWorker = new Map<WorkerEntry, WorkerOrders>();
    const getWorkerOrders = (worker: WorkerEntry): WorkerOrders => {
        const workerOrders = ordersByWorker.get(worker) ?? createWorkerOrders();
        ordersByWorker.set(worker, workerOrders);
        return workerOrders;
    };
    let windowSize = INITIAL_WINDOW;
    let awaitedStarts = 0;
    const countWaitingStarts = (): number => {
        const now = clock();
        return [...ordersByWorker.values()]
            .filter(workerOrders => !isSilent(workerOrders, now))
            .reduce((sum, { waitingStarts }) => sum + waitingStarts, 0);
    };
    const countFreeStarts = (): number =>
        Math.max(0, queue.concurrency * WAITING_STARTS_PER_ORDER - countWaitingStarts());
    const notifyIfFree = (): void => {
        if (awaitedStarts > 0 && (countFreeStarts() >= awaitedStarts || countWaitingStarts() === 0)) {
            awaitedStarts = 0;
            onFree();
        }
    };
    const sendAndRecord = async (worker: WorkerEntry, send: Send): Promise<OrderTiming | undefined> => {
        const { sendTimes } = getWorkerOrders(worker);
        const sentAt = clock();
        sendTimes.push(sentAt);
        notifyIfFree();
        const isAnswered = await send();
        sendTimes.splice(sendTimes.indexOf(sentAt), 1);
        if (isAnswered === undefined) {
            return undefined;
        }
        if (isAnswered) {
            unansweredWorkers.delete(worker);
        }
        else {
            unansweredWorkers.add(worker);
        }
        return { isAnswered, elapsedMs: clock() - sentAt };
    };
    const sendInTurn = async (kind: OrderKind, worker: WorkerEntry, send: Send): Promise<void> => {
        getWorkerOrders(worker).waitingStarts -= kind === "start" ? 1 : 0;
        const timing = await sendAndRecord(worker, send);
        if (timing !== undefined) {
            windowSize = adaptWindow(windowSize, timing);
            queue.concurrency = Math.floor(windowSize);
        }
    };
    return {
        add: async (kind, worker, send) => {
            const workerOrders = getWorkerOrders(worker);
            workerOrders.waitingStarts += kind === "start" ? 1 : 0;
            const options = { priority: PRIORITIES[kind] };
            const sendOrder = (): Promise<unknown> =>
                kind === "stop" && unansweredWorkers.has(worker)
                    ? unansweredStops.add(() => sendAndRecord(worker, send))
                    : queue.add(() => sendInTurn(kind, worker, send), options);
            await workerOrders.queue.add(sendOrder, options);
            if (workerOrders.queue.size + workerOrders.queue.pending === 0) {
                ordersByWorker.delete(worker);
            }
            notifyIfFree();
        },
        countFreeStarts,
        countWaitingStarts,
        awaitFreeStarts: count => {
            awaitedStarts = count;
        },
    };
}

function createWorkerOrders(): WorkerOrders {
    return { queue: new PQueue({ concurrency: MAX_ORDERS_PER_WORKER }), waitingStarts: 0, sendTimes: [] };
}

/** Returns whether a worker has not answered an order for long. */
function isSilent({ sendTimes }: WorkerOrders, now: number): boolean {
    return sendTimes[0] !== undefined && now - sendTimes[0] > SILENCE_MS;
}
