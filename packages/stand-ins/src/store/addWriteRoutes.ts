import type { ServerResponse } from "node:http";
import type polka from "polka";
import { findQueryParameter } from "../_lib/findQueryParameter.js";
import { getQueryParameter } from "../_lib/getQueryParameter.js";
import { readBody } from "../_lib/readBody.js";
import { sendJson } from "../_lib/sendJson.js";
import type { SwapResult } from "../StoreModel.js";
import type { StoreState } from "./StoreState.js";

/**
 * Adds the routes that change the values and leases of a fake store.
 *
 * @param app - The application that serves the store.
 * @param state - The store.
 */
export function addWriteRoutes(app: polka.Polka, state: StoreState): void {
    const { model, counters } = state;
    app.put("/v1/value", async (req, res) => {
        const body = await readBody(req);
        counters.writtenBytes += body.length;
        const expected = findQueryParameter(req, "expect");
        const swapped = model.compareAndSwap(
            getQueryParameter(req, "key"),
            body,
            expected === undefined ? undefined : Number(expected),
            findQueryParameter(req, "lease"),
        );
        respondToSwap(state, res, swapped);
    });
    app.delete("/v1/value", (req, res) => {
        const expected = Number(getQueryParameter(req, "expect"));
        respondToSwap(state, res, model.compareAndRemove(getQueryParameter(req, "key"), expected));
    });
    app.post("/v1/leases", (req, res) => {
        respondToWrite(state, res, 200, {
            lease: model.grantLease(Number(getQueryParameter(req, "ttl_ms"))),
        });
    });
    app.post("/v1/leases/renewal", (req, res) => {
        respondToWrite(state, res, model.renewLease(getQueryParameter(req, "lease")) ? 200 : 404, {});
    });
    app.delete("/v1/leases", (req, res) => {
        respondToWrite(state, res, model.revokeLease(getQueryParameter(req, "lease")) ? 200 : 404, {});
    });
}

function respondToSwap(state: StoreState, res: ServerResponse, result: SwapResult): void {
    switch (result.kind) {
        case "done":
            return respondToWrite(state, res, 200, { revision: result.revision });
        case "conflict":
            return respondToWrite(state, res, 409, { revision: result.revision });
        case "no-lease":
            return respondToWrite(state, res, 404, {});
        case "too-large":
            return respondToWrite(state, res, 413, {});
        default:
            return result satisfies never;
    }
}

/** Counts a processed write, and sends its response unless the response is to be lost. */
function respondToWrite(state: StoreState, res: ServerResponse, status: number, value: unknown): void {
    const { faults, counters } = state;
    counters.writes += 1;
    if (faults.lostAnswers > 0) {
        faults.lostAnswers -= 1;
        res.destroy();
        return;
    }
    sendJson(res, status, value);
}
