import { Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { isUtf8 } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { MAX_REQUEST_BYTES } from "../constants.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** The fields of a JSON request body, not yet validated. */
export type BodyFields = { readonly [field: string]: unknown };

/**
 * Reads the body of a request as a JSON object.
 *
 * @param req - The HTTP request.
 * @returns The fields, or the refusal if the body is larger than `MAX_REQUEST_BYTES`, incomplete or not a
 *     JSON object.
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
                const message = `The body is larger than ${MAX_REQUEST_BYTES} bytes. Send a smaller body.`;
                return err(refuse(Reason.BAD_INPUT, message));
            }
            chunks.push(chunk);
        }
        const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
        if (!isUtf8(body)) {
            return err(refuse(Reason.BAD_INPUT, "The body is not in UTF-8. Send a JSON object in UTF-8."));
        }
        const parsed: unknown = JSON.parse(body.toString("utf8"));
        return typeof parsed === "object" && parsed !== null && !Array.isArray(parsed)
            ? ok(parsed as BodyFields)
            : err(refuse(Reason.BAD_INPUT, "The body is not a JSON object. Send a JSON object."));
    }
    catch {
        return err(
            refuse(
                Reason.BAD_INPUT,
                "The body is incomplete or not valid JSON. Send a complete JSON object.",
            ),
        );
    }
}
