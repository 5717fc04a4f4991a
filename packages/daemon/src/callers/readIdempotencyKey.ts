import type { Kind } from "@balsamward/schema";
import { Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { MAX_KEY_LENGTH } from "../constants.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/**
 * Reads the `Idempotency-Key` header.
 *
 * @param req - The request.
 * @param kind - The kind of work; one that is not idempotent needs a key.
 * @returns The key, `undefined` if there is none, or the refusal to send.
 *
 * @example
 * readIdempotencyKey(req, kind).unwrapOr(undefined);
 */
export function readIdempotencyKey(req: IncomingMessage, kind: Kind): Result<string | undefined, Reply> {
    const key = req.headers["idempotency-key"];
    if (key === undefined) {
        return kind.idempotent
            ? ok(undefined)
            : err(
                refuse(Reason.KEY_REQUIRED, "The kind is not idempotent. Send an 'Idempotency-Key' header."),
            );
    }
    return typeof key === "string" && key.length > 0 && key.length <= MAX_KEY_LENGTH
        ? ok(key)
        : err(
            refuse(
                Reason.BAD_INPUT,
                `The 'Idempotency-Key' is empty, doubled or over ${MAX_KEY_LENGTH} characters.`,
            ),
        );
}
