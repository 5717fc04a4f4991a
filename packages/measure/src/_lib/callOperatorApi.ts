import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { OPERATOR_TOKEN, START_TIMEOUT_MS } from "../constants.js";

/**
 * Calls the operator API of a daemon.
 *
 * @param address - The operations address as `IP:port`.
 * @param path - The path.
 * @param body - The JSON body of a POST request; without it a GET request is sent.
 * @returns The parsed response body.
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
 * Puts a document into the trial environment and promotes it to production.
 *
 * @param address - The operations address of a daemon as `IP:port`.
 * @param documentText - The text of the document.
 */
export async function promoteDocument(address: string, documentText: string): Promise<void> {
    await callOperatorApi(address, "/v1/operator/trial", { text: documentText, author: "measure" });
    await callOperatorApi(address, "/v1/operator/promotion", { author: "measure" });
}

/**
 * Polls a condition until it holds.
 *
 * @param description - A description of the condition for the error message.
 * @param condition - Checks the condition; a rejection counts as false.
 * @throws If the condition does not hold within `START_TIMEOUT_MS`.
 */
export async function waitUntil(description: string, condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = Date.now() + START_TIMEOUT_MS;
    while (!await condition().catch(() => false)) {
        if (Date.now() > deadlineMs) {
            throw new Error(
                `Timed out waiting until ${description}. Check the logs of the started processes.`,
            );
        }
        await sleep(50);
    }
}
