import type { Outcome, Reason } from "@balsamward/schema";
import { outcomeName, reasonName } from "@balsamward/schema";
import type { ServerResponse } from "node:http";

/** A reply to a caller's or an operator's request. */
export type Reply = {
    readonly outcome: Outcome;
    readonly reason: Reason;
    readonly status: number;
    /** Human-readable description of what happened and what to do about it. */
    readonly message?: string;
    /** Time in milliseconds after which a retry may succeed. */
    readonly retryAfterMs?: number;
    /** The endpoint's answer as valid JSON text. */
    readonly answer?: string;
    /** Additional top-level fields of the JSON body. */
    readonly fields?: object;
};

/** A reply with the kind of work under which the metrics count it. */
export type ReplyWithKind = { readonly kind: string; readonly reply: Reply };

/**
 * Sends a reply as JSON; does nothing if a response was already sent or the connection is closed.
 *
 * @param res - The HTTP response to write and end.
 * @param reply - The reply.
 *
 * @example
 * sendReply(res, reply);
 */
export function sendReply(res: ServerResponse, reply: Reply): void {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const head = JSON.stringify({
        outcome: outcomeName(reply.outcome),
        reason: reasonName(reply.reason),
        message: reply.message,
        ...reply.fields,
    });
    const body = reply.answer === undefined ? head : `${head.slice(0, -1)},"answer":${reply.answer}}`;
    res.statusCode = reply.status;
    res.setHeader("content-type", "application/json");
    res.setHeader("content-length", Buffer.byteLength(body));
    if (reply.retryAfterMs !== undefined) {
        res.setHeader("retry-after", Math.max(1, Math.ceil(reply.retryAfterMs / 1_000)));
    }
    res.end(body);
}
