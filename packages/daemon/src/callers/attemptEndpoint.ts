import type { Endpoint } from "@balsamward/admission";
import { Reason } from "@balsamward/schema";
import { EventEmitter } from "node:events";
import type { Dispatcher } from "undici";
import { MAX_ANSWER_BYTES } from "../constants.js";

/** A request as it is sent to an endpoint. */
export type EndpointRequest = {
    readonly requestId: string;
    readonly kind: string;
    readonly body: string;
};

/** The result of sending a request to one endpoint. */
export type Attempt =
    | { readonly kind: "answered"; readonly body: string }
    /** The endpoint ran the request and reported a failure. */
    | { readonly kind: "failed"; readonly status: number }
    /** The request certainly did not run: nothing was sent, or the endpoint declined it. */
    | { readonly kind: "not-run"; readonly reason: Reason }
    /** The request may have run. */
    | { readonly kind: "unclear"; readonly reason: Reason };

/**
 * Sends a request to one endpoint and waits for its complete answer.
 *
 * @param dispatcher - The HTTP connections to endpoints.
 * @param endpoint - The endpoint.
 * @param request - The request.
 * @param timeoutMs - Timeout of the whole attempt in milliseconds.
 * @returns The result; a truncated answer, or one to another request, is never returned as `answered`.
 *
 * @example
 * const attempt = await attemptEndpoint(dispatcher, endpoint, request, 500);
 */
export async function attemptEndpoint(
    dispatcher: Dispatcher,
    endpoint: Endpoint,
    request: EndpointRequest,
    timeoutMs: number,
): Promise<Attempt> {
    const signal = new EventEmitter();
    let timedOut = false;
    const timer = setTimeout(() => {
        timedOut = true;
        signal.emit("abort");
    }, timeoutMs);
    try {
        const response = await dispatcher.request({
            origin: endpoint.address,
            path: "/work",
            method: "POST",
            headers: {
                "content-type": "application/json",
                "x-request-id": request.requestId,
                "x-kind": request.kind,
            },
            body: request.body,
            signal,
        });
        return await readEndpointResponse(response, request);
    }
    catch (error) {
        return classifyError(error, timedOut);
    }
    finally {
        clearTimeout(timer);
    }
}

async function readEndpointResponse(
    response: Dispatcher.ResponseData,
    request: EndpointRequest,
): Promise<Attempt> {
    if (response.statusCode === 503 && response.headers["x-ran"] === "no") {
        const { reason } = await response.body.json() as { reason?: string };
        return { kind: "not-run", reason: reason === "leaving" ? Reason.STOPPING : Reason.ENDPOINT_BUSY };
    }
    if (Number(response.headers["content-length"] ?? 0) > MAX_ANSWER_BYTES) {
        response.body.destroy();
        return { kind: "unclear", reason: Reason.ANSWER_TOO_LARGE };
    }
    const body = await response.body.text();
    if (response.statusCode !== 200) {
        return { kind: "failed", status: response.statusCode };
    }
    const isIntact = response.headers["x-request-id"] === request.requestId && isJson(body);
    return isIntact ? { kind: "answered", body } : { kind: "unclear", reason: Reason.ANSWER_CUT };
}

function isJson(body: string): boolean {
    try {
        JSON.parse(body);
        return true;
    }
    catch {
        return false;
    }
}

/** Classifies a transport error; only a failure to connect proves that nothing was sent. */
function classifyError(error: unknown, timedOut: boolean): Attempt {
    const { code } = error as { code?: string };
    if (!timedOut && (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT")) {
        return { kind: "not-run", reason: Reason.ENDPOINT_UNREACHABLE };
    }
    return { kind: "unclear", reason: timedOut ? Reason.DEADLINE : Reason.ANSWER_CUT };
}
