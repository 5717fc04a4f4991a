import PQueue from "p-queue";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { adaptWindow } from "./adaptWindow.js";

/** Kind of an order, which decides what is sent first. A repeated stop is one that was not answered before. */
export type OrderKind = "stop" | "start" | "repeated-stop";

/** Queue of the orders to workers. */
export type OrderQueue = {
    /**
     * Sends an order to a worker once fewer orders are in flight, to it and in all, than are allowed; stops are sent
     * before starts. Repeated stops have a limit of their own, so that they take no turn from other orders.
     *
     * The send returns whether it was answered, or `undefined` if it found that the order is no longer needed.
     */
    readonly add: (
        kind: OrderKind,
        worker: WorkerEntry,
        send: () => Promise<boolean | undefined>,
    ) => Promise<void>;
    /** Returns how many starts may be added now so that each is sent without a long wait. */
    readonly countFreeStarts: () => number;
    /** Returns how many added starts have not been sent yet. */
    readonly countWaitingStarts: () => number;
};

/** Dependencies of `createOrderQueue`. */
export type OrderQueueDependencies = {
    /** Returns the monotonic time in milliseconds. */
    readonly clock: () => number;
    /** Called when starts may be added again after `countFreeStarts` returned 0. */
    readonly onFree: () => void;
};

/** Number of orders in flight at the beginning. */
const INITIAL_WINDOW = 16;

/** Number of orders in flight to one worker, so that a silent one takes little of the window. */
const MAX_ORDERS_PER_WORKER = 2;

/** Number of repeated stops in flight. */
const MAX_REPEATED_STOPS = 8;

/** Number of waiting starts for each order in flight; enough for the next one to be sent at once. */
const WAITING_STARTS_PER_ORDER = 1;

const PRIORITIES: Readonly<Record<OrderKind, number>> = { stop: 1, start: 0, "repeated-stop": 0 };

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
    const repeatedStops = new PQueue({ concurrency: MAX_REPEATED_STOPS });
    const workerQueues = new WeakMap<WorkerEntry, PQueue>();
    const getWorkerQueue = (worker: WorkerEntry): PQueue => {
        const workerQueue = workerQueues.get(worker) ?? new PQueue({ concurrency: MAX_ORDERS_PER_WORKER });
        workerQueues.set(worker, workerQueue);
        return workerQueue;
    };
    let windowSize = INITIAL_WINDOW;
    let waitingStarts = 0;
    let isExhausted = false;
    const countFreeStarts = (): number => {
        const free = Math.max(0, queue.concurrency * WAITING_STARTS_PER_ORDER - waitingStarts);
        isExhausted ||= free === 0;
        return free;
    };
    const sendInTurn = async (kind: OrderKind, send: () => Promise<boolean | undefined>): Promise<void> => {
        waitingStarts -= kind === "start" ? 1 : 0;
        const sentAt = clock();
        const isAnswered = await send();
        if (isAnswered !== undefined) {
            windowSize = adaptWindow(windowSize, { isAnswered, elapsedMs: clock() - sentAt });
            queue.concurrency = Math.floor(windowSize);
        }
    };
    const notifyIfFree = (): void => {
        if (isExhausted && countFreeStarts() > 0) {
            isExhausted = false;
            onFree();
        }
    };
    return {
        add: async (kind, worker, send) => {
            waitingStarts += kind === "start" ? 1 : 0;
            const options = { priority: PRIORITIES[kind] };
            const sendOrder = (): Promise<unknown> =>
                kind === "repeated-stop"
                    ? repeatedStops.add(send)
                    : queue.add(() => sendInTurn(kind, send), options);
            await getWorkerQueue(worker).add(sendOrder, options);
            notifyIfFree();
        },
        countFreeStarts,
        countWaitingStarts: () => waitingStarts,
    };
}
