import { RETRY_AFTER_S } from "../constants.js";

/** Reason for which a call is refused. */
export type RefusalReason =
    | "no-configuration"
    | "configuration-unconfirmed"
    | "no-such-queue"
    | "unknown-key"
    | "bad-job-id"
    | "bad-job"
    | "too-large"
    | "wrong-method"
    | "no-such-job"
    | "other-job"
    | "withdrawn"
    | "store-unavailable"
    | "count-unknown"
    | "unclear"
    | "defect";

/** Reply to a caller's request. */
export type Reply =
    | { readonly kind: "accepted" }
    | { readonly kind: "state"; readonly state: ReportedJobState }
    | { readonly kind: "depth"; readonly pending: number }
    | { readonly kind: "cancelled" }
    | RefusalReply;

/**
 * Reply that refuses a call and says how to proceed.
 *
 * A refused call has had no effect, except with the reasons `unclear` and `defect`, where the effect is unknown.
 */
export type RefusalReply = {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly message: string;
    /** Time after which to retry, in seconds; absent if a retry cannot succeed. */
    readonly retryAfterS?: number;
};

/** State of a job as reported to callers. */
export type ReportedJobState = "queued" | "running" | "completed" | "failed" | "cancelled";

/**
 * Creates a reply that refuses a call.
 *
 * @param reason - The reason for the refusal.
 * @param message - Message for the caller that says what to do next.
 * @returns The reply, with a retry time if the reason is temporary.
 */
export function refuse(reason: RefusalReason, message: string): RefusalReply {
    const isTemporary = reason === "no-configuration" || reason === "configuration-unconfirmed"
        || reason === "store-unavailable" || reason === "count-unknown" || reason === "unclear";
    return { kind: "refused", reason, message, ...(isTemporary ? { retryAfterS: RETRY_AFTER_S } : {}) };
}
