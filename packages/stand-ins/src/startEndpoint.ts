import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { ListeningServer } from "./_lib/listen.js";
import { listen } from "./_lib/listen.js";
import { readBody } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { MAX_CONCURRENT_REQUESTS, MAX_ENDPOINT_CONNECTIONS } from "./constants.js";

/** Faults injected into an endpoint. */
export type EndpointFaults = {
    /** Additional time that a request takes, in milliseconds. */
    delayMs: number;
    /** Responses are cut off in the middle of the body. */
    truncates: boolean;
    /** Requests run, and no response is sent. */
    silent: boolean;
    /** Requests run, and then fail with status 500. */
    failsAll: boolean;
    /** New requests are refused because the endpoint is leaving the fleet. */
    leaving: boolean;
};

/** A request that an endpoint has run. */
export type Execution = { readonly request: string; readonly kind: string };

/** Options of `startEndpoint`. */
export type StartEndpointOptions = {
    /** Port to listen on; any free port by default. */
    readonly port?: number;
    /** Time in milliseconds that a request takes; 2 by default. */
    readonly serviceMs?: number;
    /** Whether to record every request that ran; true by default. */
    readonly recordsExecutions?: boolean;
};

/** A running endpoint. */
export type RunningEndpoint = ListeningServer & {
    readonly faults: EndpointFaults;
    /** Recorded requests, in the order in which they began. */
    readonly executions: readonly Execution[];
    /** Returns the highest number of requests that ran concurrently. */
    readonly peakConcurrency: () => number;
};

/**
 * Starts a fake of one endpoint of the served systems.
 *
 * The endpoint processes 8 requests concurrently and refuses further ones with status 503 and the header
 * `x-ran: no`. Its response echoes the request, so that a response to another request is detected.
 *
 * @param id - The endpoint's id.
 * @param options - Port, service time and recording.
 * @returns The running endpoint.
 *
 * @example
 * const endpoint = await startEndpoint("recife-e0");
 */
export async function startEndpoint(
    id: string,
    options: StartEndpointOptions = {},
): Promise<RunningEndpoint> {
    const faults: EndpointFaults = {
        delayMs: 0,
        truncates: false,
        silent: false,
        failsAll: false,
        leaving: false,
    };
    const executions: Execution[] = [];
    let activeRequests = 0;
    let peakRequests = 0;
    const handleRequest = async (req: IncomingMessage, res: ServerResponse) => {
        const body = await readBody(req);
        if (faults.leaving || activeRequests >= MAX_CONCURRENT_REQUESTS) {
            res.setHeader("x-ran", "no");
            sendJson(res, 503, { reason: faults.leaving ? "leaving" : "busy" });
            return;
        }
        activeRequests += 1;
        peakRequests = Math.max(peakRequests, activeRequests);
        const request = String(req.headers["x-request-id"] ?? "");
        res.setHeader("x-request-id", request);
        if (options.recordsExecutions !== false) {
            executions.push({ request, kind: String(req.headers["x-kind"] ?? "") });
        }
        try {
            await simulateWork(faults, options.serviceMs ?? 2);
            respond(res, faults, { endpoint: id, request, echo: body.toString("utf8") });
        }
        finally {
            activeRequests -= 1;
        }
    };
    const server = createServer((req, res) => {
        handleRequest(req, res).catch(() => res.destroy());
    });
    server.maxConnections = MAX_ENDPOINT_CONNECTIONS;
    server.keepAliveTimeout = 60_000;
    return {
        ...await listen(server, options.port ?? 0),
        faults,
        executions,
        peakConcurrency: () => peakRequests,
    };
}

async function simulateWork(faults: EndpointFaults, serviceMs: number): Promise<void> {
    const totalMs = serviceMs + faults.delayMs;
    if (totalMs > 0) {
        await sleep(totalMs);
    }
}

function respond(res: ServerResponse, faults: EndpointFaults, value: unknown): void {
    if (faults.silent) {
        return;
    }
    if (faults.failsAll) {
        sendJson(res, 500, { reason: "failed" });
        return;
    }
    if (faults.truncates) {
        const body = JSON.stringify(value);
        res.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        res.write(body.slice(0, body.length / 2), () => res.destroy());
        return;
    }
    sendJson(res, 200, value);
}
