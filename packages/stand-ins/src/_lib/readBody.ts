import type { IncomingMessage } from "node:http";
import { MAX_BODY_BYTES } from "../constants.js";

/**
 * Reads the body of a request.
 *
 * @param req - The request.
 * @returns The bytes of the body.
 * @throws If the body is larger than `MAX_BODY_BYTES`.
 */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > MAX_BODY_BYTES) {
            throw new Error(
                "The request body is larger than MAX_BODY_BYTES. Send a smaller body or raise the limit.",
            );
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/**
 * Reads the body of a request as JSON.
 *
 * @param req - The request.
 * @returns The value, `{}` for an empty body; its type is not checked.
 * @throws If the body is larger than `MAX_BODY_BYTES` or not valid JSON.
 */
export async function readJson<T>(req: IncomingMessage): Promise<T> {
    const body = await readBody(req);
    return JSON.parse(body.length === 0 ? "{}" : body.toString("utf8")) as T;
}
