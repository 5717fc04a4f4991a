import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import type { ListeningServer } from "./_lib/listen.js";
import { readBody, readJson } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { serveApp } from "./_lib/serveApp.js";
import { LEASE_SWEEP_INTERVAL_MS } from "./constants.js";
import type { StoredValue, SwapResult } from "./StoreModel.js";
import { StoreModel } from "./StoreModel.js";

/** Faults injected into the store. */
export type StoreFaults = {
    /** Closes the connection of every call before the call takes effect. */
    down: boolean;
    /** Delay of every call in milliseconds. */
    delayMs: number;
    /** Number of the next writes that take effect and whose response is lost. */
    lostAnswers: number;
    /** Watches get no response. */
    silentWatches: boolean;
};

/** Numbers of calls to the store, and bytes of the values written. */
export type StoreCounters = { reads: number; writes: number; watches: number; writtenBytes: number };

/** Options of `startStore`. */
export type StartStoreOptions = {
    /** Port to listen on; any free port by default. */
    readonly port?: number;
    /** Returns the time in milliseconds; the system clock by default. */
    readonly clock?: () => number;
};

/** A running fake store. */
export type RunningStore = ListeningServer & {
    readonly model: StoreModel;
    readonly faults: StoreFaults;
    readonly counters: StoreCounters;
};

/**
 * Starts a fake of the platform's key-value store.
 *
 * @param options - Port and clock.
 * @returns The running store with its injected faults and counters.
 *
 * @example
 * const store = await startStore();
 * store.faults.down = true;
 */
export async function startStore(options: StartStoreOptions = {}): Promise<RunningStore> {
    const model = new StoreModel(options.clock ?? (() => Date.now()));
    const faults: StoreFaults = { down: false, delayMs: 0, lostAnswers: 0, silentWatches: false };
    const counters: StoreCounters = { reads: 0, writes: 0, watches: 0, writtenBytes: 0 };
    const app = polka();
    addControlRoutes(app, faults, counters);
    app.use((req, res, next) => {
        if (req.path.startsWith("/control/")) {
            next();
            return;
        }
        applyFaults(faults, res).then(isAvailable => isAvailable && next(), () => res.destroy());
    });
    addReadRoutes(app, model, faults, counters);
    addWriteRoutes(app, model, faults, counters);
    const server = await serveApp(app, options.port ?? 0);
    const sweepTimer = setInterval(() => model.expireLeases(), LEASE_SWEEP_INTERVAL_MS);
    return {
        ...server,
        close: async () => {
            clearInterval(sweepTimer);
            await server.close();
        },
        model,
        faults,
        counters,
    };
}

/** Applies the delay and the outage; resolves to false if the call must not be processed. */
async function applyFaults(faults: StoreFaults, res: ServerResponse): Promise<boolean> {
    if (faults.delayMs > 0) {
        await sleep(faults.delayMs);
    }
    if (faults.down) {
        res.destroy();
    }
    return !faults.down;
}

function addControlRoutes(app: polka.Polka, faults: StoreFaults, counters: StoreCounters): void {
    app.get("/control/counters", (req, res) => sendJson(res, 200, counters));
    app.post("/control/faults", async (req, res) => {
        Object.assign(faults, await readJson<Partial<StoreFaults>>(req));
        sendJson(res, 200, faults);
    });
}

function addReadRoutes(
    app: polka.Polka,
    model: StoreModel,
    faults: StoreFaults,
    counters: StoreCounters,
): void {
    app.get("/v1/value", (req, res) => {
        counters.reads += 1;
        const entry = model.get(getQueryParameter(req, "key"));
        sendJson(res, entry === undefined ? 404 : 200, entry === undefined ? {} : encodeValue(entry));
    });
    app.get("/v1/values", (req, res) => {
        counters.reads += 1;
        const listed = model.list(getQueryParameter(req, "prefix"));
        sendJson(res, 200, { revision: listed.revision, values: listed.values.map(encodeValue) });
    });
    app.get("/v1/changes", (req, res) => {
        counters.watches += 1;
        void respondToWatch(model, faults, req, res);
    });
}

async function respondToWatch(
    model: StoreModel,
    faults: StoreFaults,
    req: IncomingMessage,
    res: ServerResponse,
): Promise<void> {
    const prefix = getQueryParameter(req, "prefix");
    const afterRevision = Number(getQueryParameter(req, "after"));
    const deadline = Date.now() + Number(getQueryParameter(req, "wait_ms"));
    if (faults.silentWatches) {
        return;
    }
    let result = model.listChanges(prefix, afterRevision);
    while (
        result.kind === "changes" && result.changes.length === 0 && Date.now() < deadline && !res.destroyed
    ) {
        await waitForChange(model, res, deadline - Date.now());
        result = model.listChanges(prefix, afterRevision);
    }
    if (faults.silentWatches || faults.down || res.destroyed) {
        return;
    }
    if (result.kind === "compacted") {
        sendJson(res, 410, { revision: result.revision });
        return;
    }
    const changes = result.changes.map(change => ({ ...change, value: encodeBytes(change.value) }));
    sendJson(res, 200, { revision: result.revision, changes });
}

function waitForChange(model: StoreModel, res: ServerResponse, timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            clearTimeout(timer);
            unsubscribe();
            res.off("close", finish);
            resolve();
        };
        const timer = setTimeout(finish, timeoutMs);
        const unsubscribe = model.onChange(finish);
        res.once("close", finish);
    });
}

function addWriteRoutes(
    app: polka.Polka,
    model: StoreModel,
    faults: StoreFaults,
    counters: StoreCounters,
): void {
    const respond = (res: ServerResponse, status: number, value: unknown) => {
        counters.writes += 1;
        if (faults.lostAnswers > 0) {
            faults.lostAnswers -= 1;
            res.destroy();
            return;
        }
        sendJson(res, status, value);
    };
    app.put("/v1/value", async (req, res) => {
        const body = await readBody(req);
        counters.writtenBytes += body.length;
        const expected = req.query["expect"] === undefined
            ? undefined
            : Number(getQueryParameter(req, "expect"));
        const lease = req.query["lease"] === undefined ? undefined : getQueryParameter(req, "lease");
        respondToSwap(
            res,
            respond,
            model.compareAndSwap(getQueryParameter(req, "key"), body, expected, lease),
        );
    });
    app.delete("/v1/value", (req, res) => {
        respondToSwap(
            res,
            respond,
            model.compareAndRemove(getQueryParameter(req, "key"), Number(getQueryParameter(req, "expect"))),
        );
    });
    app.post("/v1/leases", (req, res) => {
        respond(res, 200, { lease: model.grantLease(Number(getQueryParameter(req, "ttl_ms"))) });
    });
    app.post("/v1/leases/renewal", (req, res) => {
        respond(res, model.renewLease(getQueryParameter(req, "lease")) ? 200 : 404, {});
    });
    app.delete("/v1/leases", (req, res) => {
        respond(res, model.revokeLease(getQueryParameter(req, "lease")) ? 200 : 404, {});
    });
}

function respondToSwap(
    res: ServerResponse,
    respond: (res: ServerResponse, status: number, value: unknown) => void,
    result: SwapResult,
): void {
    switch (result.kind) {
        case "done":
            return respond(res, 200, { revision: result.revision });
        case "conflict":
            return respond(res, 409, { revision: result.revision });
        case "no-lease":
            return respond(res, 404, {});
        case "too-large":
            return respond(res, 413, {});
        default:
            return result satisfies never;
    }
}

function getQueryParameter(req: IncomingMessage, name: string): string {
    const { query } = req as unknown as { query: Record<string, string | undefined> };
    return query[name] ?? "";
}

function encodeValue(entry: StoredValue) {
    return { key: entry.key, revision: entry.revision, lease: entry.lease, value: encodeBytes(entry.value) };
}

function encodeBytes(bytes: Uint8Array | undefined): string | undefined {
    return bytes === undefined ? undefined : Buffer.from(bytes).toString("base64");
}
