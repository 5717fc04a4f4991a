import type { Queue, QueueAddOptions } from "p-queue";
import { URGENCY_WEIGHTS } from "./constants.js";

type RunFunction = () => Promise<unknown>;

/** What orders a request among the waiting ones. */
export type FairQueueOptions = QueueAddOptions & {
    /** From 1, the least urgent, to 4. */
    readonly urgency: number;
    readonly customer: string;
    /** Weight of the customer, at least 1. */
    readonly weight: number;
    /** The caller within the customer. */
    readonly caller: string;
};

type Flow = { readonly weight: number; startTag: number };
type CustomerFlow = Flow & { readonly callers: Map<string, RunFunction[]>; size: number };
type ClassFlow = Flow & { readonly customers: Map<string, CustomerFlow>; virtualTime: number; size: number };

/**
 * A queue class for `p-queue` that shares dispatches fairly.
 *
 * Urgency classes share by fixed weights and customers within a class by their own weights, both by
 * start-time fair queueing; the callers of a customer take turns. A backlog delays only who made it.
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

    /** Number of waiting requests. */
    get size(): number {
        return this.count;
    }

    /**
     * Adds a request.
     *
     * @param run - Runs the request.
     * @param options - What orders the request.
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
     * Takes the next request.
     *
     * @returns The request, or `undefined` if none waits.
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
     * @param options - Customer and caller to look for; all if left out.
     * @returns The requests in no particular order.
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

    /** Does nothing: the order of a request follows from its class, customer and caller alone. */
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
