import { listenOn } from "@balsamward/scheduler/listenOn";
import { Outcome, outcomeName, Reason, reasonName } from "@balsamward/schema";
import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { Server as NetServer } from "node:net";
import polka from "polka";
import { Agent } from "undici";
import { CLIENT_REQUEST_TIMEOUT_MS, ENDPOINT_CONNECTIONS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { handleCancellation } from "./handleCancellation.js";
import { handleInquiry } from "./handleInquiry.js";
import type { CountedReply } from "./handleRequest.js";
import { handleRequest } from "./handleRequest.js";
import { handleSubmission } from "./handleSubmission.js";
import { refuse } from "./refuse.js";
import { sendReply } from "./Reply.js";

/** The listener for callers. */
export type CallersListener = {
    /** Takes no new connections; each open one ends with its next answer. */
    readonly drain: () => void;
    /** Ends connections that wait for a request. */
    readonly closeIdle: () => void;
    readonly close: () => Promise<void>;
};

type Handle = (req: IncomingMessage, id: string) => Promise<CountedReply>;

/**
 * Serves callers over HTTP/1.1 with JSON.
 *
 * @param state - The daemon.
 * @param router - Reaches the owners of cells.
 * @param address - The address as `IP:port`.
 * @returns The listener.
 *
 * @example
 * const listener = await startCallersListener(state, router, "127.0.0.1:7200");
 */
export async function startCallersListener(
    state: DaemonState,
    router: CellRouter,
    address: string,
): Promise<CallersListener> {
    const dispatcher = new Agent({ connections: ENDPOINT_CONNECTIONS, pipelining: 1 });
    const app = polka();
    const serve = (handle: Handle) => (req: IncomingMessage, res: ServerResponse) => {
        const { params } = req as unknown as { params: { id?: string } };
        void answer(state, req, res, () => handle(req, params.id ?? ""));
    };
    app.post("/v1/requests", serve(req => handleRequest(state, dispatcher, req)));
    app.post("/v1/jobs", serve(req => handleSubmission(state, router, req)));
    app.get("/v1/jobs/:id", serve((req, id) => handleInquiry(state, router, req, id)));
    app.delete("/v1/jobs/:id", serve((req, id) => handleCancellation(state, router, req, id)));
    const server: Server = createServer(app.handler as unknown as RequestListener);
    server.requestTimeout = CLIENT_REQUEST_TIMEOUT_MS;
    await listenOn(server, address);
    return {
        // The HTTP server's own 'close' would cut connections on which a request is on its way.
        drain: () => void NetServer.prototype.close.call(server),
        closeIdle: () => server.closeIdleConnections(),
        close: async () => {
            server.closeAllConnections();
            await dispatcher.destroy();
        },
    };
}

async function answer(
    state: DaemonState,
    req: IncomingMessage,
    res: ServerResponse,
    handle: () => Promise<CountedReply>,
): Promise<void> {
    const arrivedAt = performance.now();
    state.inFlight += 1;
    try {
        const { kind, reply } = await handle();
        count(state, kind, reply.outcome, reply.reason);
        state.metrics.latency.observe({ kind }, (performance.now() - arrivedAt) / 1_000);
        if (state.stopping) {
            res.setHeader("connection", "close");
        }
        sendReply(res, reply);
        discardRest(req, res);
    }
    catch (error) {
        state.log.error("A request meets a defect.", { error: String(error), url: req.url });
        count(state, "none", Outcome.UNKNOWN, Reason.UNSPECIFIED);
        const message = "The daemon met a defect. Ask for the request's effect before sending it again.";
        sendReply(res, { ...refuse(Reason.UNSPECIFIED, message), outcome: Outcome.UNKNOWN, status: 500 });
    }
    finally {
        state.inFlight -= 1;
    }
}

/** A body that was refused before its end is not read; the connection ends with the answer. */
function discardRest(req: IncomingMessage, res: ServerResponse): void {
    if (!req.complete) {
        res.once("finish", () => req.destroy());
    }
}

function count(state: DaemonState, kind: string, outcome: Outcome, reason: Reason): void {
    state.metrics.outcomes.inc({ kind, outcome: outcomeName(outcome), reason: reasonName(reason) });
}
