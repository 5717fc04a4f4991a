import type { Queue, QueueAddOptions } from "p-queue";
import { URGENCY_WEIGHTS } from "./constants.js";

type RunFunction = () => Promise<unknown>;

/** The properties of a request that determine its place in the queue. */
export type FairQueueOptions = QueueAddOptions & {
    /** Urgency class from 1, the least urgent, to 4. */
    readonly urgency: number;
    readonly customer: string;
    /** Weight of the customer, at least 1. */
    readonly weight: number;
    /** The caller, among those of the customer. */
    readonly caller: string;
};

type Flow = { readonly weight: number; startTag: number };
type CustomerFlow = Flow & { readonly callers: Map<string, RunFunction[]>; size: number };
type ClassFlow = Flow & { readonly customers: Map<string, CustomerFlow>; virtualTime: number; size: number };

/**
 * Implements a queue for `p-queue` that dispatches requests by weighted fair queueing.
 *
 * Urgency classes are weighted by `URGENCY_WEIGHTS` and the customers within a class by their own weights,
 * both with start-time fair queueing. The callers of a customer are served round-robin. A caller with a
 * backlog therefore does not delay other callers beyond their share.
 *
 * @example
 * new PQueue({ concurrency: 8, queueClass: FairQueue });
 */
export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
    private readonly urgencyFlows: readonly ClassFlow[] = URGENCY_WEIGHTS.map(weight => ({
        weight,
        startTag: 0,
        virtualTime: 0,
        size: 0,
        customers: new Map(),
    }));
    private virtualTime = 0;
    private count = 0;

    /** Returns the number of waiting requests. */
    get size(): number {
        return this.count;
    }

    /**
     * Adds a request.
     *
     * @param run - A function that runs the request.
     * @param options - Urgency class, customer, weight and caller. Defaults to class 1 and weight 1.
     */
    enqueue(run: RunFunction, options: Partial<FairQueueOptions> = {}): void {
        const flow = this.urgencyFlows[options.urgency ?? 1] ?? this.urgencyFlows[1]!;
        if (flow.size === 0) {
            flow.startTag = Math.max(flow.startTag, this.virtualTime);
        }
        const customer = activateCustomer(flow, options.customer ?? "", options.weight ?? 1);
        const caller = options.caller ?? "";
        const waiting = customer.callers.get(caller);
        if (waiting === undefined) {
            customer.callers.set(caller, [run]);
        }
        else {
            waiting.push(run);
        }
        customer.size += 1;
        flow.size += 1;
        this.count += 1;
    }

    /**
     * Removes the request that is to be dispatched next.
     *
     * @returns The request, or `undefined` if the queue is empty.
     */
    dequeue(): RunFunction | undefined {
        const flow = findEarliest(this.urgencyFlows);
        if (flow === undefined) {
            return undefined;
        }
        this.virtualTime = flow.startTag;
        flow.startTag += 1 / flow.weight;
        flow.size -= 1;
        this.count -= 1;
        const customer = findEarliest(flow.customers.values())!;
        flow.virtualTime = customer.startTag;
        customer.startTag += 1 / customer.weight;
        customer.size -= 1;
        return dequeueFromNextCaller(customer);
    }

    /**
     * Returns the waiting requests.
     *
     * @param options - Customer and caller whose requests are returned; either matches all if it is absent.
     * @returns The requests, in no particular order.
     */
    filter(options: Readonly<Partial<FairQueueOptions>> = {}): RunFunction[] {
        const { customer, caller } = options;
        let found: RunFunction[] = [];
        for (const flow of this.urgencyFlows) {
            for (const entry of flow.size > 0 ? selectByKey(flow.customers, customer) : []) {
                found = found.concat(...selectByKey(entry.callers, caller));
            }
        }
        return found;
    }

    /** Does nothing, because only the class, customer and caller of a request determine its order. */
    setPriority(): void {
        return;
    }
}

function activateCustomer(flow: ClassFlow, id: string, weight: number): CustomerFlow {
    const existing = flow.customers.get(id);
    const customer = existing?.weight === weight
        ? existing
        : {
            weight,
            startTag: existing?.startTag ?? 0,
            callers: existing?.callers ?? new Map(),
            size: existing?.size ?? 0,
        };
    flow.customers.set(id, customer);
    if (customer.size === 0) {
        customer.startTag = Math.max(customer.startTag, flow.virtualTime);
    }
    return customer;
}

function findEarliest<T extends { readonly startTag: number; readonly size: number }>(
    flows: Iterable<T>,
): T | undefined {
    let found: T | undefined;
    for (const flow of flows) {
        if (flow.size > 0 && (found === undefined || flow.startTag < found.startTag)) {
            found = flow;
        }
    }
    return found;
}

function dequeueFromNextCaller(customer: CustomerFlow): RunFunction | undefined {
    const [first] = customer.callers;
    if (first === undefined) {
        return undefined;
    }
    const [caller, waiting] = first;
    const run = waiting.shift();
    customer.callers.delete(caller);
    if (waiting.length > 0) {
        customer.callers.set(caller, waiting);
    }
    return run;
}

function selectByKey<T>(entries: ReadonlyMap<string, T>, key: string | undefined): readonly T[] {
    if (key === undefined) {
        return [...entries.values()];
    }
    const found = entries.get(key);
    return found === undefined ? [] : [found];
}
