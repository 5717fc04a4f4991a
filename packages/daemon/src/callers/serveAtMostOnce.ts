import type { ClaimRequest } from "@balsamward/coordination";
import { claimIdempotencyKey, claimKey, recordClaimAnswer, releaseClaim } from "@balsamward/coordination";
import { pause } from "@balsamward/scheduler/pause";
import type { Answer, Claim, CustomerId } from "@balsamward/schema";
import { AnswerSchema, ClaimSchema, Outcome, Reason, sha256Hex } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { CLAIM_POLL_INTERVAL_MS, MAX_STORED_ANSWER_BYTES } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import { ensureClaimLease } from "./ensureClaimLease.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** A request that runs at most once for its idempotency key. */
export type KeyedRequest = {
    readonly customer: CustomerId;
    readonly idempotencyKey: string;
    /** Text whose digest identifies the request, so that a key reused for another request is detected. */
    readonly content: string;
    /** Monotonic time in milliseconds by which the caller must have a reply. */
    readonly deadline: number;
    /** Runs the request; called at most once. */
    readonly run: () => Promise<Reply>;
};

/**
 * Runs a request at most once across all daemons by claiming its idempotency key in the store first.
 *
 * A repeated request waits for the stored answer of the first attempt and returns it. If the store is not
 * available, the request is refused and does not run.
 *
 * @param state - The daemon's state.
 * @param request - The request and its key.
 * @returns The reply of the first attempt, a refusal, or an unknown outcome if the first attempt left no answer.
 *
 * @example
 * const reply = await serveAtMostOnce(state, request);
 */
export async function serveAtMostOnce(state: DaemonState, request: KeyedRequest): Promise<Reply> {
    const lease = await ensureClaimLease(state);
    if (lease === undefined) {
        return refuseWithoutStore();
    }
    const claimRequest: ClaimRequest = {
        key: claimKey(state.environment, request.customer, request.idempotencyKey),
        requestDigest: sha256Hex(request.content),
        node: state.node,
        incarnation: state.incarnation,
        job: "",
        lease,
    };
    const claimed = await claimIdempotencyKey(state.store, claimRequest);
    if (claimed.isErr()) {
        return refuseWithoutStore();
    }
    switch (claimed.value.kind) {
        case "claimed":
            return runClaimedRequest(state, claimRequest, claimed.value.revision, request);
        case "taken":
            return awaitFirstAnswer(state, claimRequest.key, claimed.value.claim, request);
        case "reused":
            return refuse(
                Reason.KEY_REUSED,
                "The idempotency key was used for a different request. Use a new key.",
            );
        default:
            return claimed.value satisfies never;
    }
}

async function runClaimedRequest(
    state: DaemonState,
    claimRequest: ClaimRequest,
    revision: number,
    request: KeyedRequest,
): Promise<Reply> {
    const reply = await request.run();
    if (reply.outcome === Outcome.REFUSED) {
        await releaseClaim(state.store, claimRequest.key, revision);
        return reply;
    }
    const recorded = await recordClaimAnswer(state.store, claimRequest, revision, toStoredAnswer(reply));
    if (recorded.isErr()) {
        state.log.warn(
            "The answer for an idempotency key cannot be stored. A repeated request may get an unknown outcome.",
            { error: recorded.error.message },
        );
    }
    return reply;
}

async function awaitFirstAnswer(
    state: DaemonState,
    key: string,
    claim: Claim,
    request: KeyedRequest,
): Promise<Reply> {
    let current = claim;
    while (
        current.answer === undefined && performance.now() < request.deadline
        && isClaimantAlive(state, current)
    ) {
        await pause(CLAIM_POLL_INTERVAL_MS);
        const read = await state.store.read(ClaimSchema, key);
        if (read.isOk() && read.value !== undefined) {
            current = read.value.message;
        }
    }
    return current.answer === undefined ? replyInterrupted() : fromStoredAnswer(current.answer);
}

function isClaimantAlive(state: DaemonState, claim: Claim): boolean {
    return claim.node === state.node
        ? claim.incarnation === state.incarnation
        : state.membership.freshHeartbeats().some(heartbeat => heartbeat.incarnation === claim.incarnation);
}

function toStoredAnswer(reply: Reply): Answer {
    const body = Buffer.from(reply.answer ?? "", "utf8");
    const fitsClaim = body.length <= MAX_STORED_ANSWER_BYTES;
    return create(AnswerSchema, {
        outcome: reply.outcome,
        reason: fitsClaim ? reply.reason : Reason.ANSWER_TOO_LARGE,
        status: reply.status,
        body: fitsClaim ? body : new Uint8Array(),
    });
}

function fromStoredAnswer(answer: Answer): Reply {
    const { outcome, reason, status } = answer;
    const fields = { repeated: true };
    return answer.body.length === 0
        ? {
            outcome,
            reason,
            status,
            fields,
            message: "This is the outcome of the first attempt with this idempotency key.",
        }
        : { outcome, reason, status, fields, answer: Buffer.from(answer.body).toString("utf8") };
}

function replyInterrupted(): Reply {
    return {
        outcome: Outcome.UNKNOWN,
        reason: Reason.ATTEMPT_INTERRUPTED,
        status: 504,
        message:
            "The first attempt with this idempotency key left no answer. Check its effect; it is not sent again.",
    };
}

function refuseWithoutStore(): Reply {
    const message =
        "The store is unavailable, so the idempotency key cannot be claimed. The request did not run; try again later.";
    return refuse(Reason.STORE_UNAVAILABLE, message, { retryAfterMs: 2_000 });
}
