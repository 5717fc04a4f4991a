import type { ServerResponse } from "node:http";

/**
 * Sends a JSON response and ends it.
 *
 * @param res - The response.
 * @param status - The HTTP status code.
 * @param value - The value to send.
 */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    res.end(body);
}
