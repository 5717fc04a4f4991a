import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import type { ListeningServer } from "./_lib/listen.js";
import { readJson } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { serveApp } from "./_lib/serveApp.js";
import { LEASE_SWEEP_INTERVAL_MS } from "./constants.js";
import { addReadRoutes } from "./store/addReadRoutes.js";
import { addWriteRoutes } from "./store/addWriteRoutes.js";
import type { StoreFaults, StoreState } from "./store/StoreState.js";
import { StoreModel } from "./StoreModel.js";

/** Options of `startStore`. */
export type StartStoreOptions = {
    /** Port to listen on; any free port by default. */
    readonly port?: number;
    /** Returns the time in milliseconds; the system clock by default. */
    readonly clock?: () => number;
};

/** A running fake store. */
export type RunningStore = ListeningServer & StoreState;

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
    const state: StoreState = {
        model: new StoreModel(options.clock ?? (() => Date.now())),
        faults: { down: false, delayMs: 0, lostAnswers: 0, silentWatches: false },
        counters: { reads: 0, writes: 0, watches: 0, writtenBytes: 0 },
    };
    const app = polka();
    addControlRoutes(app, state);
    addFaults(app, state.faults);
    addReadRoutes(app, state);
    addWriteRoutes(app, state);
    const server = await serveApp(app, options.port ?? 0);
    const sweepTimer = setInterval(() => state.model.expireLeases(), LEASE_SWEEP_INTERVAL_MS);
    return {
        ...server,
        ...state,
        close: async () => {
            clearInterval(sweepTimer);
            await server.close();
        },
    };
}

function addControlRoutes(app: polka.Polka, { faults, counters }: StoreState): void {
    app.get("/control/counters", (req, res) => sendJson(res, 200, counters));
    app.post("/control/faults", async (req, res) => {
        Object.assign(faults, await readJson<Partial<StoreFaults>>(req));
        sendJson(res, 200, faults);
    });
}

/** Applies the faults to every call that does not control the fake itself. */
function addFaults(app: polka.Polka, faults: StoreFaults): void {
    app.use((req, res, next) => {
        if (req.path.startsWith("/control/")) {
            next();
            return;
        }
        applyFaults(faults, res).then(isAvailable => isAvailable && next(), () => res.destroy());
    });
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
