import type { ListenOptions } from "@balsamward/scheduler/listenOn";
import { listenOn } from "@balsamward/scheduler/listenOn";
import { Outcome, outcomeName, Reason, reasonName } from "@balsamward/schema";
import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import polka from "polka";
import { Agent } from "undici";
import { CLIENT_REQUEST_TIMEOUT_MS, ENDPOINT_CONNECTIONS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { createOpenRequests } from "./createOpenRequests.js";
import { handleJobCancellation } from "./handleJobCancellation.js";
import { handleJobQuery } from "./handleJobQuery.js";
import { handleJobSubmission } from "./handleJobSubmission.js";
import { handleRequest } from "./handleRequest.js";
import { refuse } from "./refuse.js";
import type { ReplyWithKind } from "./Reply.js";
import { sendReply } from "./Reply.js";

/** The HTTP listener for callers. */
export type CallersListener = {
    /** Returns the number of requests whose answers have not been sent completely. */
    readonly countOpenRequests: () => number;
    /**
     * Waits until all answers have been sent. After the timeout, in milliseconds, it answers the requests that are left
     * itself, and waits a little longer until these answers have been sent.
     */
    readonly finish: (timeoutMs: number) => Promise<void>;
    /** Stops accepting connections and closes the open ones; must be the last step before the process ends. */
    readonly close: () => Promise<void>;
};

type Handler = (req: IncomingMessage, id: string) => Promise<ReplyWithKind>;

/**
 * Starts the callers' API, which uses JSON over HTTP/1.1.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @param address - The address to listen on as `IP:port`.
 * @param options - How the server comes to listen.
 * @returns The listener.
 *
 * @example
 * const listener = await startCallersListener(state, router, "127.0.0.1:7200");
 */
export async function startCallersListener(
    state: DaemonState,
    router: CellRouter,
    address: string,
    options: ListenOptions = {},
): Promise<CallersListener> {
    const dispatcher = new Agent({ connections: ENDPOINT_CONNECTIONS, pipelining: 1 });
    const openRequests = createOpenRequests();
    const app = polka();
    const toRoute = (handle: Handler) => (req: IncomingMessage, res: ServerResponse) => {
        const { params } = req as unknown as { params: { id?: string } };
        openRequests.add(req, res);
        void respond(state, req, res, () => handle(req, params.id ?? ""));
    };
    app.post("/v1/requests", toRoute(req => handleRequest(state, dispatcher, req)));
    app.post("/v1/jobs", toRoute(req => handleJobSubmission(state, router, req)));
    app.get("/v1/jobs/:id", toRoute((req, id) => handleJobQuery(state, router, req, id)));
    app.delete("/v1/jobs/:id", toRoute((req, id) => handleJobCancellation(state, router, req, id)));
    const server: Server = createServer(app.handler as unknown as RequestListener);
    server.requestTimeout = CLIENT_REQUEST_TIMEOUT_MS;
    // A caller that ends its side of a connection may still wait for an answer. The types lack this property.
    Object.assign(server, { httpAllowHalfOpen: true });
    await listenOn(server, address, options);
    return {
        countOpenRequests: openRequests.count,
        finish: openRequests.finish,
        close: async () => {
            server.close();
            server.closeAllConnections();
            await dispatcher.destroy();
        },
    };
}

async function respond(
    state: DaemonState,
    req: IncomingMessage,
    res: ServerResponse,
    handle: () => Promise<ReplyWithKind>,
): Promise<void> {
    const arrivedAt = performance.now();
    try {
        const { kind, reply } = await handle();
        countOutcome(state, kind, reply.outcome, reply.reason);
        state.metrics.requestSeconds.observe({ kind }, (performance.now() - arrivedAt) / 1_000);
        if (state.isStopping && !res.headersSent) {
            res.setHeader("connection", "close");
        }
        sendReply(res, reply);
        closeAfterUnreadBody(req, res);
    }
    catch (error) {
        state.log.error("A request fails with an internal error.", { error: String(error), url: req.url });
        countOutcome(state, "none", Outcome.UNKNOWN, Reason.UNSPECIFIED);
        const message =
            "The daemon failed with an internal error. Check the request's effect before sending it again.";
        sendReply(res, { ...refuse(Reason.UNSPECIFIED, message), outcome: Outcome.UNKNOWN, status: 500 });
    }
}

/** Closes the connection after the reply if the request's body was not read to its end. */
function closeAfterUnreadBody(req: IncomingMessage, res: ServerResponse): void {
    if (!req.complete) {
        res.once("finish", () => req.destroy());
    }
}

function countOutcome(state: DaemonState, kind: string, outcome: Outcome, reason: Reason): void {
    state.metrics.outcomes.inc({ kind, outcome: outcomeName(outcome), reason: reasonName(reason) });
}
