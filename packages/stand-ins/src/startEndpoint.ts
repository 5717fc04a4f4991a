import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Listening } from "./_lib/listen.js";
import { listen } from "./_lib/listen.js";
import { readBody } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { ENDPOINT_CONNECTIONS, ENDPOINT_SLOTS } from "./constants.js";

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
    readonly keepsExecutions?: boolean;
};

/** A running endpoint. */
export type RunningEndpoint = Listening & {
    readonly faults: EndpointFaults;
    readonly executions: readonly Execution[];
    /** Most requests that were in work at one time. */
    readonly peak: () => number;
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
    let busy = 0;
    let peak = 0;
    const handle = async (req: IncomingMessage, res: ServerResponse) => {
        const body = await readBody(req);
        if (faults.leaving || busy >= ENDPOINT_SLOTS) {
            res.setHeader("x-ran", "no");
            sendJson(res, 503, { reason: faults.leaving ? "leaving" : "busy" });
            return;
        }
        busy += 1;
        peak = Math.max(peak, busy);
        const request = String(req.headers["x-request-id"] ?? "");
        res.setHeader("x-request-id", request);
        if (options.keepsExecutions !== false) {
            executions.push({ request, kind: String(req.headers["x-kind"] ?? "") });
        }
        try {
            await work(faults, options.serviceMs ?? 2);
            answer(res, faults, { endpoint: id, request, echo: body.toString("utf8") });
        }
        finally {
            busy -= 1;
        }
    };
    const server = createServer((req, res) => {
        handle(req, res).catch(() => res.destroy());
    });
    server.maxConnections = ENDPOINT_CONNECTIONS;
    server.keepAliveTimeout = 60_000;
    return { ...await listen(server, options.port ?? 0), faults, executions, peak: () => peak };
}

async function work(faults: EndpointFaults, serviceMs: number): Promise<void> {
    const ms = serviceMs + faults.delayMs;
    if (ms > 0) {
        await sleep(ms);
    }
}

function answer(res: ServerResponse, faults: EndpointFaults, value: unknown): void {
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
