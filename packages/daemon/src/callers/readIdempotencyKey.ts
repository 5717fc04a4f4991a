import type { Kind } from "@balsamward/schema";
import { Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { MAX_IDEMPOTENCY_KEY_LENGTH } from "../constants.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/**
 * Reads and validates the `Idempotency-Key` header.
 *
 * @param req - The HTTP request.
 * @param kind - The kind of work; the header is required if the kind is not idempotent.
 * @returns The key, `undefined` if the header is absent and not required, or the refusal.
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
                refuse(
                    Reason.KEY_REQUIRED,
                    "The kind of work is not idempotent. Send an 'Idempotency-Key' header.",
                ),
            );
    }
    return typeof key === "string" && key.length > 0 && key.length <= MAX_IDEMPOTENCY_KEY_LENGTH
        ? ok(key)
        : err(
            refuse(
                Reason.BAD_INPUT,
                `The 'Idempotency-Key' header is not valid. Send one key of 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`,
            ),
        );
}
