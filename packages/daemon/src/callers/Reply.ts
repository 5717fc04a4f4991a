import type { Outcome, Reason } from "@balsamward/schema";
import { outcomeName, reasonName } from "@balsamward/schema";
import type { ServerResponse } from "node:http";

/** An answer to a caller. */
export type Reply = {
    readonly outcome: Outcome;
    readonly reason: Reason;
    readonly status: number;
    /** What happened and what to do, for people. */
    readonly message?: string;
    /** Time in milliseconds after which another attempt may succeed. */
    readonly retryAfterMs?: number;
    /** The endpoint's answer, which is valid JSON. */
    readonly answer?: string;
    /** Further fields of the answer. */
    readonly fields?: object;
};

/**
 * Sends an answer to a caller.
 *
 * @param res - The response to end.
 * @param reply - The answer.
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
