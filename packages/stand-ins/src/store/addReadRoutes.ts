import type polka from "polka";
import { getQueryParameter } from "../_lib/getQueryParameter.js";
import { sendJson } from "../_lib/sendJson.js";
import { encodeValue } from "./encodeValue.js";
import { respondToWatch } from "./respondToWatch.js";
import type { StoreState } from "./StoreState.js";

/**
 * Adds the routes that read and watch a fake store.
 *
 * @param app - The application that serves the store.
 * @param state - The store.
 */
export function addReadRoutes(app: polka.Polka, state: StoreState): void {
    const { model, counters } = state;
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
        void respondToWatch(state, req, res);
    });
}
