import { claimIdempotencyKey, claimKey } from "@balsamward/coordination";
import type { CustomerId, JobId } from "@balsamward/schema";
import { Reason, sha256Hex } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { DaemonState } from "../DaemonState.js";
import { cellOfJob } from "./cellOfJob.js";
import { ensureClaimLease } from "./ensureClaimLease.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";
import type { Submission } from "./Submission.js";

/**
 * Claims an idempotency key for the job of a submission.
 *
 * If an earlier request with the same content has claimed the key, the submission takes over that request's job id
 * and cell.
 *
 * @param state - The daemon's state.
 * @param customer - The customer who submits the job; other customers may use the same key.
 * @param idempotencyKey - The key that the caller sent.
 * @param submission - The submission with its new job id.
 * @param content - The request's content, which must be the same in every request with this key.
 * @returns The submission to forward, or the refusal if the key was used for other content or the store is
 *     not available.
 *
 * @example
 * const claimed = await claimSubmission(state, customer, "key-1", submission, content);
 */
export async function claimSubmission(
    state: DaemonState,
    customer: CustomerId,
    idempotencyKey: string,
    submission: Submission,
    content: string,
): Promise<Result<Submission, Reply>> {
    const unavailable = refuse(
        Reason.STORE_UNAVAILABLE,
        "The store is unavailable, so the job was not accepted. Try again later.",
        { retryAfterMs: 2_000 },
    );
    const lease = await ensureClaimLease(state);
    if (lease === undefined) {
        return err(unavailable);
    }
    const claimed = await claimIdempotencyKey(state.store, {
        key: claimKey(state.environment, customer, idempotencyKey),
        requestDigest: sha256Hex(content),
        node: state.node,
        incarnation: state.incarnation,
        job: submission.job.id,
        lease,
    });
    if (claimed.isErr()) {
        return err(unavailable);
    }
    switch (claimed.value.kind) {
        case "claimed":
            return ok(submission);
        case "taken":
            return ok(replaceJobId(submission, claimed.value.claim.job as JobId));
        case "reused":
            return err(
                refuse(Reason.KEY_REUSED, "The idempotency key was used for a different job. Use a new key."),
            );
        default:
            return claimed.value satisfies never;
    }
}

function replaceJobId(submission: Submission, id: JobId): Submission {
    return { cell: cellOfJob(id), job: { ...submission.job, id } };
}
