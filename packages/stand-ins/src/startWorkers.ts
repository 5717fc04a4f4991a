import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import type { RoutedRequest } from "./_lib/getPathParameter.js";
import { getPathParameter } from "./_lib/getPathParameter.js";
import type { ListeningServer } from "./_lib/listen.js";
import { readJson } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { serveApp } from "./_lib/serveApp.js";
import type { CellOwner, CommandResult, ReservationRequest } from "./WorkerCommand.js";
import type { WorkerFaults } from "./WorkerModel.js";
import { WorkerModel } from "./WorkerModel.js";

/** Options of `startWorkers`. */
export type StartWorkersOptions = {
    /** Port to listen on; any free port by default. */
    readonly port?: number;
    /** Returns the time in milliseconds; the system clock by default. */
    readonly clock?: () => number;
    /** Time in milliseconds by which the reported usage lags behind the clock; 0 by default. */
    readonly usageLagMs?: number;
};

/** Number of calls to worker agents, and bytes transferred by them, including headers. */
export type WorkerTraffic = { calls: number; bytesIn: number; bytesOut: number };

/** Running fake worker agents that share one port. */
export type RunningWorkers = ListeningServer & { readonly workers: ReadonlyMap<string, WorkerModel> };

/**
 * Starts fakes of the agents of several workers, each under the path `/workers/ID`.
 *
 * @param ids - The ids of the workers.
 * @param options - Port, clock and usage lag.
 * @returns The running agents.
 *
 * @example
 * const agents = await startWorkers(["recife-w0"]);
 */
export async function startWorkers(
    ids: readonly string[],
    options: StartWorkersOptions = {},
): Promise<RunningWorkers> {
    const clock = options.clock ?? (() => Date.now());
    const modelOptions = { usageLagMs: options.usageLagMs ?? 0 };
    const workers = new Map(ids.map(id => [id, new WorkerModel(clock, modelOptions)]));
    const app = polka();
    const traffic: WorkerTraffic = { calls: 0, bytesIn: 0, bytesOut: 0 };
    app.use((req, res, next) => {
        countTraffic(traffic, req.socket, res);
        next();
    });
    addControlRoutes(app, workers, traffic);
    addCommandRoutes(app, workers);
    return { ...await serveApp(app, options.port ?? 0), workers };
}

function addControlRoutes(
    app: polka.Polka,
    workers: ReadonlyMap<string, WorkerModel>,
    traffic: WorkerTraffic,
): void {
    app.post("/control/workers/:worker", async (req, res) => {
        const worker = workers.get(getPathParameter(req, "worker"));
        const faults = await readJson<Partial<WorkerFaults>>(req);
        if (faults.dead === true) {
            worker?.kill();
        }
        Object.assign(worker?.faults ?? {}, faults);
        sendJson(res, worker === undefined ? 404 : 200, worker?.faults ?? {});
    });
    app.get("/control/traffic", (req, res) => sendJson(res, 200, traffic));
    app.get("/control/reservations", (req, res) => {
        const reports = [...workers].flatMap(([worker, model]) =>
            model.listReports().map(report => ({ worker, ...report }))
        );
        sendJson(res, 200, reports);
    });
}

/** Bytes of each connection that are already part of the traffic counts. */
const countedBytes = new WeakMap<Socket, { read: number; written: number }>();

/** Counts a call, and adds the bytes transferred on its connection since the last counted call. */
function countTraffic(traffic: WorkerTraffic, socket: Socket, res: ServerResponse): void {
    traffic.calls += 1;
    res.once("close", () => {
        const previous = countedBytes.get(socket) ?? { read: 0, written: 0 };
        traffic.bytesIn += socket.bytesRead - previous.read;
        traffic.bytesOut += socket.bytesWritten - previous.written;
        countedBytes.set(socket, { read: socket.bytesRead, written: socket.bytesWritten });
    });
}

type Handler = (worker: WorkerModel, req: RoutedRequest, res: ServerResponse) => Promise<void> | void;

function addCommandRoutes(app: polka.Polka, workers: ReadonlyMap<string, WorkerModel>): void {
    const withWorker = (handler: Handler) => (req: RoutedRequest, res: ServerResponse) => {
        const worker = workers.get(getPathParameter(req, "worker"));
        if (worker === undefined || worker.faults.dead) {
            res.destroy();
            return;
        }
        Promise.resolve(handler(worker, req, res)).catch(() => res.destroy());
    };
    app.put(
        "/workers/:worker/reservations/:id",
        withWorker(async (worker, req, res) => {
            const body = await readJson<Omit<ReservationRequest, "id">>(req);
            respond(res, worker.reserve({ ...body, id: getPathParameter(req, "id") }));
        }),
    );
    app.post(
        "/workers/:worker/reservations/:id/start",
        withWorker(async (worker, req, res) => {
            const body = await readJson<CellOwner & { runMs: number }>(req);
            respond(res, worker.start(body, getPathParameter(req, "id"), body.runMs));
        }),
    );
    app.post(
        "/workers/:worker/reservations/:id/checkpoint",
        withWorker(async (worker, req, res) => {
            const body = await readJson<CellOwner>(req);
            await sleep(worker.faults.checkpointMs);
            respond(res, worker.checkpoint(body, getPathParameter(req, "id")));
        }),
    );
    app.post(
        "/workers/:worker/reservations/:id/stop",
        withWorker(async (worker, req, res) => {
            respond(res, worker.stop(await readJson<CellOwner>(req), getPathParameter(req, "id")));
        }),
    );
    app.post(
        "/workers/:worker/renewals",
        withWorker(async (worker, req, res) => {
            const body = await readRenewal(req);
            const reports = worker.renew(body, body.ttlMs);
            if (reports === undefined) {
                sendJson(res, 409, { reason: "stale-epoch" });
                return;
            }
            for (const id of body.settled) {
                worker.forget(id);
            }
            sendJson(res, 200, { reservations: reports.filter(report => !body.settled.includes(report.id)) });
        }),
    );
}

function readRenewal(
    req: IncomingMessage,
): Promise<CellOwner & { ttlMs: number; settled: readonly string[] }> {
    return readJson(req);
}

function respond(res: ServerResponse, result: CommandResult): void {
    if (result.kind === "done") {
        sendJson(res, 200, result.report);
        return;
    }
    sendJson(res, 409, { reason: result.reason });
}
