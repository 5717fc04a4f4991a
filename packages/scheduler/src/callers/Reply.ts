import { RETRY_AFTER_S } from "../constants.js";

/** Why a call is not answered with success. */
export type RefusalReason =
    | "no-configuration"
    | "no-such-queue"
    | "unknown-key"
    | "bad-job-id"
    | "bad-job"
    | "too-large"
    | "wrong-method"
    | "no-such-job"
    | "other-job"
    | "store-unavailable"
    | "unclear"
    | "defect";

/** An answer to a caller. */
export type Reply =
    | { readonly kind: "accepted" }
    | { readonly kind: "state"; readonly state: ReportedJobState }
    | { readonly kind: "depth"; readonly pending: number }
    | { readonly kind: "cancelled" }
    | RefusalReply;

/** A refusal with its remedy; only `unclear` and `defect` leave open whether the call had an effect. */
export type RefusalReply = {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly message: string;
    /** When to come back, in seconds; absent if coming back does not help. */
    readonly retryAfterS?: number;
};

/** State of a job in the words that callers read. */
export type ReportedJobState = "queued" | "running" | "completed" | "failed" | "cancelled";

/**
 * Composes a refusal.
 *
 * @param reason - The reason.
 * @param message - A sentence with the remedy.
 * @returns The refusal; the temporary ones say when to come back.
 */
export function refuse(reason: RefusalReason, message: string): RefusalReply {
    const isTemporary = reason === "no-configuration" || reason === "store-unavailable"
        || reason === "unclear";
    return { kind: "refused", reason, message, ...(isTemporary ? { retryAfterS: RETRY_AFTER_S } : {}) };
}
