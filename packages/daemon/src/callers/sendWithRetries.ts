import { retryDelayMs } from "@balsamward/admission";
import type { AttemptResult, Endpoint, RetryBudget } from "@balsamward/admission";
import { pause } from "@balsamward/scheduler/pause";
import type { EndpointId, Kind } from "@balsamward/schema";
import { Outcome, Reason, reasonName } from "@balsamward/schema";
import type { Dispatcher } from "undici";
import { MAX_ATTEMPTS, MIN_ATTEMPT_TIMEOUT_MS, SLOT_POLL_INTERVAL_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { Attempt, EndpointRequest } from "./attemptEndpoint.js";
import { attemptEndpoint } from "./attemptEndpoint.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set();

/** A request with its limits and what is needed to send it. */
export type RequestContext = {
    readonly state: DaemonState;
    readonly dispatcher: Dispatcher;
    readonly kind: Kind;
    readonly retryBudget: RetryBudget;
    readonly request: EndpointRequest;
    /** Monotonic time in milliseconds by which the caller must have a reply. */
    readonly deadline: number;
};

/**
 * Sends a request to an endpoint and retries at other endpoints while that is safe.
 *
 * A request that did not run may always be retried. A request that may have run is retried only if its
 * kind is idempotent. Retries are limited by the kind's retry budget and by the deadline.
 *
 * @param context - The request and its limits.
 * @returns The reply to the caller.
 *
 * @example
 * const reply = await sendWithRetries(context);
 */
export async function sendWithRetries(context: RequestContext): Promise<Reply> {
    const triedEndpoints = new Set<EndpointId>();
    let mayHaveRun = false;
    for (let attempt = 1;; attempt++) {
        const endpoint = await acquireEndpoint(context, triedEndpoints);
        if (endpoint === undefined) {
            return mayHaveRun ? replyUnknown(Reason.DEADLINE) : refuseWithoutEndpoint(context);
        }
        const result = await attemptEndpoint(
            context.dispatcher,
            endpoint,
            context.request,
            attemptTimeoutMs(context, attempt),
        );
        context.state.endpointPool.release(endpoint.id, toAttemptResult(result));
        if (result.kind === "answered") {
            context.retryBudget.recordSuccess();
            return { outcome: Outcome.COMPLETED, reason: Reason.NONE, status: 200, answer: result.body };
        }
        mayHaveRun ||= result.kind !== "not-run";
        if (!mayRetry(context, result, attempt)) {
            return replyToFailure(result, mayHaveRun);
        }
        triedEndpoints.add(endpoint.id);
        context.state.metrics.retries.inc({ reason: reasonName(reasonOf(result)) });
        await pause(retryDelayMs(attempt, context.state.random));
    }
}

async function acquireEndpoint(
    context: RequestContext,
    triedEndpoints: ReadonlySet<EndpointId>,
): Promise<Endpoint | undefined> {
    while (remainingMs(context) > 0) {
        const endpoint = context.state.endpointPool.acquire(triedEndpoints)
            ?? context.state.endpointPool.acquire(NO_ENDPOINTS);
        if (endpoint !== undefined) {
            return endpoint;
        }
        await pause(SLOT_POLL_INTERVAL_MS);
    }
    return undefined;
}

/** Returns an attempt's timeout; an idempotent request keeps half of the time left for a further attempt. */
function attemptTimeoutMs(context: RequestContext, attempt: number): number {
    const timeLeftMs = remainingMs(context);
    const shareMs = context.kind.idempotent && attempt < MAX_ATTEMPTS ? timeLeftMs / 2 : timeLeftMs;
    return Math.max(MIN_ATTEMPT_TIMEOUT_MS, shareMs);
}

function remainingMs(context: RequestContext): number {
    return context.deadline - performance.now();
}

function mayRetry(context: RequestContext, result: Attempt, attempt: number): boolean {
    const isSafeToRepeat = result.kind === "not-run" || context.kind.idempotent;
    if (!isSafeToRepeat || remainingMs(context) < MIN_ATTEMPT_TIMEOUT_MS) {
        return false;
    }
    // A busy endpoint declines without running anything, so this retry does not count against the budget.
    const isOutsideBudget = result.kind === "not-run" && result.reason === Reason.ENDPOINT_BUSY;
    return isOutsideBudget || attempt < MAX_ATTEMPTS && context.retryBudget.tryTake();
}

function toAttemptResult(result: Attempt): AttemptResult {
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

function replyToFailure(result: Attempt, mayHaveRun: boolean): Reply {
    if (result.kind === "failed") {
        const message = `The endpoint ran the request and failed with status ${result.status}.`;
        return { outcome: Outcome.FAILED, reason: Reason.ENDPOINT_FAILED, status: 502, message };
    }
    return mayHaveRun
        ? replyUnknown(reasonOf(result))
        : refuse(reasonOf(result), "No endpoint accepted the request. Try again later.", {
            retryAfterMs: 1_000,
        });
}

function replyUnknown(reason: Reason): Reply {
    const message = "The request may have run. Check its effect before sending it again.";
    return { outcome: Outcome.UNKNOWN, reason, status: 504, message };
}

function refuseWithoutEndpoint(context: RequestContext): Reply {
    const reason = context.state.endpointPool.capacity() === 0 ? Reason.NO_ENDPOINT : Reason.DEADLINE;
    return refuse(reason, "No endpoint became available before the deadline. Try again later.", {
        retryAfterMs: 1_000,
    });
}
