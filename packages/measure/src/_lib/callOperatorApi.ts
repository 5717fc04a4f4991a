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
export async function callOperatorApi(
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
 * @param documentText - The document.
 */
export async function promoteDocument(address: string, documentText: string): Promise<void> {
    await callOperatorApi(address, "/v1/operator/trial", { text: documentText, author: "measure" });
    await callOperatorApi(address, "/v1/operator/promotion", { author: "measure" });
}

/**
 * Waits until a condition holds.
 *
 * @param description - The condition, for the error.
 * @param condition - Tests the condition; a throw counts as false.
 */
export async function waitUntil(description: string, condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = Date.now() + START_TIMEOUT_MS;
    while (!await condition().catch(() => false)) {
        if (Date.now() > deadlineMs) {
            throw new Error(`Gave up waiting: ${description}.`);
        }
        await sleep(50);
    }
}
