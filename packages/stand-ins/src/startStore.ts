import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import type { Listening } from "./_lib/listen.js";
import { readBody, readJson } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { serveApp } from "./_lib/serveApp.js";
import { LEASE_SWEEP_MS } from "./constants.js";
import type { StoredValue, Swap } from "./StoreModel.js";
import { StoreModel } from "./StoreModel.js";

/** Faults of the store that are switched on. */
export type StoreFaults = {
    /** Every call's connection is cut before it takes effect. */
    down: boolean;
    /** Every call is delayed by so many milliseconds. */
    delayMs: number;
    /** So many of the next writes take effect and then lose their answer. */
    lostAnswers: number;
    /** Watches wait for ever. */
    silentWatches: boolean;
};

/** Calls that the store has counted. */
export type StoreCounters = { reads: number; writes: number; watches: number; writtenBytes: number };

/** Options of `startStore`. */
export type StartStoreOptions = {
    readonly port?: number;
    readonly clock?: () => number;
};

/** A running store. */
export type RunningStore = Listening & {
    readonly model: StoreModel;
    readonly faults: StoreFaults;
    readonly counters: StoreCounters;
};

/**
 * Starts a stand-in for the platform's key-value service.
 *
 * @param options - Port and clock.
 * @returns The running store with its fault switches and counters.
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
    addControl(app, faults, counters);
    app.use((req, res, next) => {
        if (req.path.startsWith("/control/")) {
            next();
            return;
        }
        applyFaults(faults, res).then(alive => alive && next(), () => res.destroy());
    });
    addReads(app, model, faults, counters);
    addWrites(app, model, faults, counters);
    const listening = await serveApp(app, options.port ?? 0);
    const sweep = setInterval(() => model.expire(), LEASE_SWEEP_MS);
    return {
        ...listening,
        close: async () => {
            clearInterval(sweep);
            await listening.close();
        },
        model,
        faults,
        counters,
    };
}

async function applyFaults(faults: StoreFaults, res: ServerResponse): Promise<boolean> {
    if (faults.delayMs > 0) {
        await sleep(faults.delayMs);
    }
    if (faults.down) {
        res.destroy();
    }
    return !faults.down;
}

function addControl(app: polka.Polka, faults: StoreFaults, counters: StoreCounters): void {
    app.get("/control/counters", (req, res) => sendJson(res, 200, counters));
    app.post("/control/faults", async (req, res) => {
        Object.assign(faults, await readJson<Partial<StoreFaults>>(req));
        sendJson(res, 200, faults);
    });
}

function addReads(app: polka.Polka, model: StoreModel, faults: StoreFaults, counters: StoreCounters): void {
    app.get("/v1/value", (req, res) => {
        counters.reads += 1;
        const entry = model.get(queryOf(req, "key"));
        sendJson(res, entry === undefined ? 404 : 200, entry === undefined ? {} : encodeValue(entry));
    });
    app.get("/v1/values", (req, res) => {
        counters.reads += 1;
        const listed = model.list(queryOf(req, "prefix"));
        sendJson(res, 200, { revision: listed.revision, values: listed.values.map(encodeValue) });
    });
    app.get("/v1/changes", (req, res) => {
        counters.watches += 1;
        void answerWatch(model, faults, req, res);
    });
}

async function answerWatch(
    model: StoreModel,
    faults: StoreFaults,
    req: IncomingMessage,
    res: ServerResponse,
): Promise<void> {
    const prefix = queryOf(req, "prefix");
    const after = Number(queryOf(req, "after"));
    const deadline = Date.now() + Number(queryOf(req, "wait_ms"));
    if (faults.silentWatches) {
        return;
    }
    let found = model.changes(prefix, after);
    while (
        found.kind === "changes" && found.changes.length === 0 && Date.now() < deadline && !res.destroyed
    ) {
        await waitForChange(model, res, deadline - Date.now());
        found = model.changes(prefix, after);
    }
    if (faults.silentWatches || faults.down || res.destroyed) {
        return;
    }
    if (found.kind === "compacted") {
        sendJson(res, 410, { revision: found.revision });
        return;
    }
    const changes = found.changes.map(change => ({ ...change, value: encodeBytes(change.value) }));
    sendJson(res, 200, { revision: found.revision, changes });
}

function waitForChange(model: StoreModel, res: ServerResponse, ms: number): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            clearTimeout(timer);
            cancel();
            res.off("close", finish);
            resolve();
        };
        const timer = setTimeout(finish, ms);
        const cancel = model.onChange(finish);
        res.once("close", finish);
    });
}

function addWrites(app: polka.Polka, model: StoreModel, faults: StoreFaults, counters: StoreCounters): void {
    const answer = (res: ServerResponse, status: number, value: unknown) => {
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
        const expected = req.query["expect"] === undefined ? undefined : Number(queryOf(req, "expect"));
        const lease = req.query["lease"] === undefined ? undefined : queryOf(req, "lease");
        answerSwap(res, answer, model.swap(queryOf(req, "key"), body, expected, lease));
    });
    app.delete("/v1/value", (req, res) => {
        answerSwap(res, answer, model.removeIf(queryOf(req, "key"), Number(queryOf(req, "expect"))));
    });
    app.post("/v1/leases", (req, res) => {
        answer(res, 200, { lease: model.grant(Number(queryOf(req, "ttl_ms"))) });
    });
    app.post("/v1/leases/renewal", (req, res) => {
        answer(res, model.renew(queryOf(req, "lease")) ? 200 : 404, {});
    });
    app.delete("/v1/leases", (req, res) => {
        answer(res, model.revoke(queryOf(req, "lease")) ? 200 : 404, {});
    });
}

function answerSwap(
    res: ServerResponse,
    answer: (res: ServerResponse, status: number, value: unknown) => void,
    swap: Swap,
): void {
    switch (swap.kind) {
        case "done":
            return answer(res, 200, { revision: swap.revision });
        case "conflict":
            return answer(res, 409, { revision: swap.revision });
        case "no-lease":
            return answer(res, 404, {});
        case "too-large":
            return answer(res, 413, {});
        default:
            return swap satisfies never;
    }
}

function queryOf(req: IncomingMessage, name: string): string {
    const { query } = req as unknown as { query: Record<string, string | undefined> };
    return query[name] ?? "";
}

function encodeValue(entry: StoredValue) {
    return { key: entry.key, revision: entry.revision, lease: entry.lease, value: encodeBytes(entry.value) };
}

function encodeBytes(bytes: Uint8Array | undefined): string | undefined {
    return bytes === undefined ? undefined : Buffer.from(bytes).toString("base64");
}
