import type { Environment } from "@balsamward/coordination";
import { listenOn } from "@balsamward/scheduler/listenOn";
import { Reason, sha256Hex } from "@balsamward/schema";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { createServer } from "node:http";
import polka from "polka";
import { readRequestBody } from "../callers/readRequestBody.js";
import { refuse } from "../callers/refuse.js";
import type { Reply } from "../callers/Reply.js";
import { sendReply } from "../callers/Reply.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import type { OperatorFields } from "./handleDocuments.js";
import { promote, showConfiguration, tryDocument } from "./handleDocuments.js";
import { showFleet, showStatus, showUsage } from "./handleInspections.js";
import { isReady } from "./isReady.js";

/** The listener for operators. */
export type OperationsListener = { readonly close: () => Promise<void> };

/** Options of `startOperationsListener`. */
export type StartOperationsListenerOptions = {
    /** SHA-256 digest of the operators' token. */
    readonly tokenSha256: string;
};

/**
 * Serves metrics, health and the operators' interface.
 *
 * @param state - The daemon.
 * @param router - Reaches the owners of cells.
 * @param address - The address as `IP:port`.
 * @param options - The operators' token.
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
    const app = polka();
    addHealth(app, state);
    addOperators(app, state, router, options);
    const server = createServer(app.handler as unknown as RequestListener);
    await listenOn(server, address);
    return {
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

function addHealth(app: polka.Polka, state: DaemonState): void {
    app.get("/healthz", (req, res) => {
        res.end("The daemon runs.\n");
    });
    app.get("/readyz", (req, res) => {
        const readiness = isReady(state);
        res.statusCode = readiness.ready ? 200 : 503;
        res.setHeader("content-type", "application/json");
        res.end(JSON.stringify(readiness));
    });
    app.get("/metrics", async (req, res) => {
        res.setHeader("content-type", state.metrics.registry.contentType);
        res.end(await state.metrics.registry.metrics());
    });
}

function addOperators(
    app: polka.Polka,
    state: DaemonState,
    router: CellRouter,
    options: StartOperationsListenerOptions,
): void {
    const guard =
        (handle: (req: IncomingMessage) => Promise<Reply> | Reply) =>
        (req: IncomingMessage, res: ServerResponse) => {
            const authorized =
                sha256Hex((req.headers.authorization ?? "").replace(/^Bearer /, "")) === options.tokenSha256;
            const reply = authorized
                ? Promise.resolve().then(() => handle(req))
                : Promise.resolve(
                    refuse(
                        Reason.BAD_TOKEN,
                        "The operators' token is missing or wrong. Check 'tokens.operator'.",
                    ),
                );
            reply.then(done => sendReply(res, done), error => {
                state.log.error("An operator's request meets a defect.", { error: String(error) });
                res.destroy();
            });
        };
    const withFields =
        (handle: (fields: OperatorFields) => Promise<Reply>) => async (req: IncomingMessage) => {
            const fields = await readRequestBody(req);
            return fields.isErr() ? fields.error : handle(fields.value as OperatorFields);
        };
    app.post("/v1/operator/trial", guard(withFields(fields => tryDocument(state, fields))));
    app.post("/v1/operator/promotion", guard(withFields(fields => promote(state, fields))));
    app.get(
        "/v1/operator/configurations/:environment",
        guard(req => {
            const { params } = req as unknown as { params: { environment: string } };
            return params.environment === "trial" || params.environment === "production"
                ? showConfiguration(state, params.environment satisfies Environment)
                : refuse(Reason.NOT_FOUND, "There is no such environment. Use 'trial' or 'production'.");
        }),
    );
    app.get("/v1/operator/status", guard(() => showStatus(state)));
    app.get("/v1/operator/fleet", guard(() => showFleet(state, router)));
    app.get("/v1/operator/usage", guard(() => showUsage(state, router)));
}
