import { retryDelayMs } from "@balsamward/admission";
import type { AttemptResult, Endpoint, RetryBudget } from "@balsamward/admission";
import { pause } from "@balsamward/scheduler/pause";
import type { EndpointId, Kind } from "@balsamward/schema";
import { Outcome, Reason, reasonName } from "@balsamward/schema";
import type { Dispatcher } from "undici";
import { MAX_ATTEMPTS, MIN_ATTEMPT_MS, SLOT_PAUSE_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { Attempt, EndpointWork } from "./attemptEndpoint.js";
import { attemptEndpoint } from "./attemptEndpoint.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

const NONE: ReadonlySet<EndpointId> = new Set();

/** What one request needs to be served. */
export type Service = {
    readonly state: DaemonState;
    readonly dispatcher: Dispatcher;
    readonly kind: Kind;
    readonly retries: RetryBudget;
    readonly work: EndpointWork;
    /** Monotonic time in milliseconds by which the caller has its answer. */
    readonly deadline: number;
};

/**
 * Serves work at an endpoint, and at others if that is safe.
 *
 * Work that did not run may always be sent again. Work that may have run is sent again only if its
 * kind is idempotent. Retries stay within the kind's budget and the deadline.
 *
 * @param service - The work and its limits.
 * @returns The answer to the caller.
 *
 * @example
 * const reply = await serveWork(service);
 */
export async function serveWork(service: Service): Promise<Reply> {
    const avoid = new Set<EndpointId>();
    let mayHaveRun = false;
    for (let attempt = 1;; attempt++) {
        const endpoint = await acquireEndpoint(service, avoid);
        if (endpoint === undefined) {
            return mayHaveRun ? unclear(Reason.DEADLINE) : refuseLate(service);
        }
        const result = await attemptEndpoint(
            service.dispatcher,
            endpoint,
            service.work,
            attemptTime(service, attempt),
        );
        service.state.pool.release(endpoint.id, judge(result));
        if (result.kind === "answered") {
            service.retries.recordSuccess();
            return { outcome: Outcome.COMPLETED, reason: Reason.NONE, status: 200, answer: result.body };
        }
        mayHaveRun ||= result.kind !== "not-run";
        if (!mayRetry(service, result, attempt)) {
            return describeEnd(result, mayHaveRun);
        }
        avoid.add(endpoint.id);
        service.state.metrics.retries.inc({ reason: reasonName(reasonOf(result)) });
        await pause(retryDelayMs(attempt, service.state.random));
    }
}

async function acquireEndpoint(
    service: Service,
    avoid: ReadonlySet<EndpointId>,
): Promise<Endpoint | undefined> {
    while (remaining(service) > 0) {
        const endpoint = service.state.pool.acquire(avoid) ?? service.state.pool.acquire(NONE);
        if (endpoint !== undefined) {
            return endpoint;
        }
        await pause(SLOT_PAUSE_MS);
    }
    return undefined;
}

/** An idempotent request keeps part of its deadline for another endpoint. */
function attemptTime(service: Service, attempt: number): number {
    const rest = remaining(service);
    const share = service.kind.idempotent && attempt < MAX_ATTEMPTS ? rest / 2 : rest;
    return Math.max(MIN_ATTEMPT_MS, share);
}

function remaining(service: Service): number {
    return service.deadline - performance.now();
}

function mayRetry(service: Service, result: Attempt, attempt: number): boolean {
    const safe = result.kind === "not-run" || service.kind.idempotent;
    if (!safe || remaining(service) < MIN_ATTEMPT_MS) {
        return false;
    }
    // A busy endpoint costs the fleet nothing, so another one is tried outside the budget.
    const free = result.kind === "not-run" && result.reason === Reason.ENDPOINT_BUSY;
    return free || attempt < MAX_ATTEMPTS && service.retries.tryTake();
}

function judge(result: Attempt): AttemptResult {
    switch (result.kind) {
        case "answered":
            return "succeeded";
        case "failed":
        case "unclear":
            return "failed";
        case "not-run":
            return result.reason === Reason.ENDPOINT_BUSY
                ? "busy"
                : result.reason === Reason.STOPPING
                ? "leaving"
                : "failed";
        default:
            return result satisfies never;
    }
}

function reasonOf(result: Attempt): Reason {
    switch (result.kind) {
        case "answered":
            return Reason.NONE;
        case "failed":
            return Reason.ENDPOINT_FAILED;
        case "not-run":
        case "unclear":
            return result.reason;
        default:
            return result satisfies never;
    }
}

function describeEnd(result: Attempt, mayHaveRun: boolean): Reply {
    if (result.kind === "failed") {
        const message = `The endpoint ran the request and failed with status ${result.status}.`;
        return { outcome: Outcome.FAILED, reason: Reason.ENDPOINT_FAILED, status: 502, message };
    }
    return mayHaveRun
        ? unclear(reasonOf(result))
        : refuse(reasonOf(result), "No endpoint took the request. Try again later.", { retryAfterMs: 1_000 });
}

function unclear(reason: Reason): Reply {
    const message = "The request may have run. Ask for its effect before sending it again.";
    return { outcome: Outcome.UNKNOWN, reason, status: 504, message };
}

function refuseLate(service: Service): Reply {
    const reason = service.state.pool.capacity() === 0 ? Reason.NO_ENDPOINT : Reason.DEADLINE;
    return refuse(reason, "No endpoint was free within the deadline. Try again later.", {
        retryAfterMs: 1_000,
    });
}
