import { Outcome, Reason } from "@balsamward/schema";
import type { Reply } from "./Reply.js";

/** Options of `refuse`. */
export type RefuseOptions = {
    /** Time in milliseconds after which a retry may succeed. */
    readonly retryAfterMs?: number;
};

/**
 * Creates the reply to a request that was refused and therefore did not run.
 *
 * @param reason - Why the request was refused; determines the HTTP status.
 * @param message - What is wrong and what to do about it.
 * @param options - When to retry.
 * @returns The reply with the outcome `refused`.
 *
 * @example
 * refuse(Reason.BAD_TOKEN, "The bearer token is unknown. Ask an operator for a valid token.");
 */
export function refuse(reason: Reason, message: string, options: RefuseOptions = {}): Reply {
    return { outcome: Outcome.REFUSED, reason, status: httpStatusOf(reason), message, ...options };
}

function httpStatusOf(reason: Reason): number {
    switch (reason) {
        case Reason.BAD_INPUT:
        case Reason.KEY_REQUIRED:
        case Reason.WRONG_WORK:
        case Reason.BAD_DOCUMENT:
            return 400;
        case Reason.BAD_TOKEN:
            return 401;
        case Reason.UNKNOWN_KIND:
        case Reason.NOT_FOUND:
            return 404;
        case Reason.CONFLICT:
        case Reason.KEY_REUSED:
            return 409;
        case Reason.SHAPE_IMPOSSIBLE:
        case Reason.QUOTA_EXCEEDED:
            return 422;
        case Reason.RATE_LIMIT:
        case Reason.CONCURRENCY_LIMIT:
        case Reason.QUEUE_FULL:
            return 429;
        default:
            return 503;
    }
}
