import type { Environment } from "@balsamward/coordination";
import type { ListenOptions } from "@balsamward/scheduler/listenOn";
import { listenOn } from "@balsamward/scheduler/listenOn";
import { Reason, sha256Hex } from "@balsamward/schema";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { createServer } from "node:http";
import polka from "polka";
import { createOpenRequests } from "../callers/createOpenRequests.js";
import { readRequestBody } from "../callers/readRequestBody.js";
import { refuse } from "../callers/refuse.js";
import type { Reply } from "../callers/Reply.js";
import { sendReply } from "../callers/Reply.js";
import { OPERATIONS_DRAIN_TIMEOUT_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { checkReadiness } from "./checkReadiness.js";
import type { OperatorFields } from "./configurationHandlers.js";
import { promoteTrialDocument, showConfiguration, tryDocument } from "./configurationHandlers.js";
import { showFleet, showStatus, showUsage } from "./inspectionHandlers.js";

/** The HTTP listener for operators and monitoring. */
export type OperationsListener = {
    /** Waits until the requests in progress have been answered, and closes all connections. */
    readonly close: () => Promise<void>;
};

/** Options of `startOperationsListener`. */
export type StartOperationsListenerOptions = {
    /** SHA-256 digest of the operators' bearer token. */
    readonly tokenSha256: string;
    /** How the server comes to listen. */
    readonly listenOptions?: ListenOptions;
};

/**
 * Starts the HTTP listener for health checks, metrics and the operators' API.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @param address - The address to listen on as `IP:port`.
 * @param options - The digest of the operators' token, and how the server comes to listen.
 * @returns The listener.
 *
 * @example
 * const listener = await startOperationsListener(state, router, "127.0.0.1:7300", { tokenSha256 });
 */
export async function startOperationsListener(
    state: DaemonState,
    router: CellRouter,
    address: string,
    options: StartOperationsListenerOptions,
): Promise<OperationsListener> {
    const openRequests = createOpenRequests();
    const app = polka();
    app.use((req, res, next) => {
        openRequests.add(req, res);
        void next();
    });
    addHealthRoutes(app, state);
    addOperatorRoutes(app, state, router, options);
    const server = createServer(app.handler as unknown as RequestListener);
    await listenOn(server, address, options.listenOptions);
    return {
        close: async () => {
            await openRequests.finish(OPERATIONS_DRAIN_TIMEOUT_MS);
            await new Promise<void>(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            });
        },
    };
}

function addHealthRoutes(app: polka.Polka, state: DaemonState): void {
    app.get("/healthz", (req, res) => {
        res.end("The daemon runs.\n");
    });
    app.get("/readyz", (req, res) => {
        const readiness = checkReadiness(state);
        res.statusCode = readiness.ready ? 200 : 503;
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify(readiness));
    });
    app.get("/metrics", async (req, res) => {
        res.setHeader("content-type", state.metrics.registry.contentType);
        res.end(await state.metrics.registry.metrics());
    });
}

function addOperatorRoutes(
    app: polka.Polka,
    state: DaemonState,
    router: CellRouter,
    options: StartOperationsListenerOptions,
): void {
    const requireOperator =
        (handle: (req: IncomingMessage) => Promise<Reply> | Reply) =>
        (req: IncomingMessage, res: ServerResponse) => {
            const isAuthorized =
                sha256Hex((req.headers.authorization ?? "").replace(/^Bearer /, "")) === options.tokenSha256;
            const reply = isAuthorized
                ? Promise.resolve().then(() => handle(req))
                : Promise.resolve(
                    refuse(
                        Reason.BAD_TOKEN,
                        "The operators' bearer token is missing or wrong. Check the setting 'tokens.operator'.",
                    ),
                );
            reply.then(result => sendReply(res, result), error => {
                state.log.error("An operator's request fails with an internal error.", {
                    error: String(error),
                });
                res.destroy();
            });
        };
    const withBodyFields =
        (handle: (fields: OperatorFields) => Promise<Reply>) => async (req: IncomingMessage) => {
            const fields = await readRequestBody(req);
            return fields.isErr() ? fields.error : handle(fields.value as OperatorFields);
        };
    app.post("/v1/operator/trial", requireOperator(withBodyFields(fields => tryDocument(state, fields))));
    app.post(
        "/v1/operator/promotion",
        requireOperator(withBodyFields(fields => promoteTrialDocument(state, fields))),
    );
    app.get(
        "/v1/operator/configurations/:environment",
        requireOperator(req => {
            const { params } = req as unknown as { params: { environment: string } };
            return params.environment === "trial" || params.environment === "production"
                ? showConfiguration(state, params.environment satisfies Environment)
                : refuse(Reason.NOT_FOUND, "There is no such environment. Use 'trial' or 'production'.");
        }),
    );
    app.get("/v1/operator/status", requireOperator(() => showStatus(state)));
    app.get("/v1/operator/fleet", requireOperator(() => showFleet(state, router)));
    app.get("/v1/operator/usage", requireOperator(() => showUsage(state, router)));
}
