import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { ListeningServer } from "./_lib/listen.js";
import { listen } from "./_lib/listen.js";
import { readBody } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { MAX_CONCURRENT_REQUESTS, MAX_ENDPOINT_CONNECTIONS } from "./constants.js";

/** Faults of an endpoint that are switched on. */
export type EndpointFaults = {
    /** Answers are late by so many milliseconds. */
    delayMs: number;
    /** Answers are cut in the middle. */
    truncates: boolean;
    /** Requests run, and their answers never come. */
    silent: boolean;
    /** Every request fails at once, having run. */
    failsAll: boolean;
    /** New requests are refused, since the endpoint is leaving. */
    leaving: boolean;
};

/** One request that an endpoint ran. */
export type Execution = { readonly request: string; readonly kind: string };

/** Options of `startEndpoint`. */
export type StartEndpointOptions = {
    readonly port?: number;
    /** Time in milliseconds that a request takes. */
    readonly serviceMs?: number;
    /** Whether to record every request that ran; it does unless this is false. */
    readonly recordsExecutions?: boolean;
};

/** A running endpoint. */
export type RunningEndpoint = ListeningServer & {
    readonly faults: EndpointFaults;
    readonly executions: readonly Execution[];
    /** Most requests that were in work at one time. */
    readonly peakConcurrency: () => number;
};

/**
 * Starts a stand-in for one endpoint of the served systems.
 *
 * It works on 8 requests at a time, refuses others with status 503 and the header `x-ran: no`,
 * and echoes the request in its answer, so that an answer to another request is recognized.
 *
 * @param id - The endpoint.
 * @param options - Port and service time.
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
