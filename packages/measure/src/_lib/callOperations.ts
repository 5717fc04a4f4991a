import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { OPERATOR_TOKEN, START_TIMEOUT_MS } from "../constants.js";

/**
 * Calls the operators' interface of a daemon.
 *
 * @param address - The operations address as `IP:port`.
 * @param path - The path.
 * @param body - The body of a POST; a GET is sent if left out.
 * @returns The answer.
 */
export async function callOperations(
    address: string,
    path: string,
    body?: object,
): Promise<Readonly<Record<string, unknown>>> {
    const response = await request(`http://${address}${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        body: body === undefined ? null : JSON.stringify(body),
    });
    return await response.body.json() as Readonly<Record<string, unknown>>;
}

/**
 * Tries and promotes a document.
 *
 * @param address - The operations address of a daemon.
 * @param text - The document.
 */
export async function promoteText(address: string, text: string): Promise<void> {
    await callOperations(address, "/v1/operator/trial", { text, author: "measure" });
    await callOperations(address, "/v1/operator/promotion", { author: "measure" });
}

/**
 * Waits until a condition holds.
 *
 * @param what - The condition, for the error.
 * @param holds - Tests the condition; a throw counts as false.
 */
export async function waitUntil(what: string, holds: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + START_TIMEOUT_MS;
    while (!await holds().catch(() => false)) {
        if (Date.now() > deadline) {
            throw new Error(`Gave up waiting: ${what}.`);
        }
        await sleep(50);
    }
}
