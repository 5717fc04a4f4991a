import { Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { MAX_REQUEST_BYTES } from "../constants.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** Fields of a caller's JSON body. */
export type BodyFields = { readonly [field: string]: unknown };

/**
 * Reads a caller's body as a JSON object.
 *
 * @param req - The request.
 * @returns The fields, or the refusal of a body that is too large, cut or no JSON object.
 *
 * @example
 * const fields = await readRequestBody(req);
 */
export async function readRequestBody(req: IncomingMessage): Promise<Result<BodyFields, Reply>> {
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of req as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length > MAX_REQUEST_BYTES) {
                const message = `The body is larger than ${MAX_REQUEST_BYTES} bytes. Send less.`;
                return err(refuse(Reason.BAD_INPUT, message));
            }
            chunks.push(chunk);
        }
        const parsed: unknown = JSON.parse(
            (chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)).toString("utf8"),
        );
        return typeof parsed === "object" && parsed !== null && !Array.isArray(parsed)
            ? ok(parsed as BodyFields)
            : err(refuse(Reason.BAD_INPUT, "The body is not a JSON object. Send one."));
    }
    catch {
        return err(refuse(Reason.BAD_INPUT, "The body is cut or not valid JSON. Send a whole JSON object."));
    }
}
