import type { IncomingMessage, ServerResponse } from "node:http";
import { getQueryParameter } from "../_lib/getQueryParameter.js";
import { sendJson } from "../_lib/sendJson.js";
import type { Change, StoreModel } from "../StoreModel.js";
import { encodeBytes } from "./encodeBytes.js";
import type { StoreState } from "./StoreState.js";

/** A change as the store's responses show it, with the bytes of the value in Base64. */
type EncodedChange = Omit<Change, "value"> & { readonly value: string | undefined };

/**
 * Responds to a watch with the changes under a prefix, as soon as there are any or its waiting time has passed.
 *
 * A watch gets no response while watches are silenced, or if the store is down when it would respond.
 *
 * @param state - The store.
 * @param req - The request with the prefix, the last known revision and the waiting time in milliseconds.
 * @param res - The response.
 */
export async function respondToWatch(
    state: StoreState,
    req: IncomingMessage,
    res: ServerResponse,
): Promise<void> {
    const { model, faults } = state;
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
    sendJson(res, 200, { revision: result.revision, changes: result.changes.map(encodeChange) });
}

function encodeChange(change: Change): EncodedChange {
    return { ...change, value: change.value === undefined ? undefined : encodeBytes(change.value) };
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
