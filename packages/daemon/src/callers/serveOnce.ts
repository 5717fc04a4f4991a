import type { ClaimRequest } from "@balsamward/coordination";
import { claimIdempotencyKey, claimKey, recordClaimAnswer, releaseClaim } from "@balsamward/coordination";
import { pause } from "@balsamward/scheduler/pause";
import type { Answer, Claim, CustomerId } from "@balsamward/schema";
import { AnswerSchema, ClaimSchema, Outcome, Reason, sha256Hex } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { CLAIM_POLL_MS, MAX_KEPT_ANSWER_BYTES } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import { ensureClaimLease } from "./ensureClaimLease.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** Work that runs at most once for an idempotency key. */
export type KeyedWork = {
    readonly customer: CustomerId;
    readonly idempotencyKey: string;
    /** Text from which a key that is used for two requests is recognized. */
    readonly content: string;
    /** Monotonic time in milliseconds by which the caller has its answer. */
    readonly deadline: number;
    /** Runs the work; called at most once. */
    readonly run: () => Promise<Reply>;
};

/**
 * Serves work that is claimed before it is sent, so that it runs at most once on all daemons.
 *
 * A repeat waits for the first attempt's answer and returns it. If the store is not available the
 * work is refused and has not run.
 *
 * @param state - The daemon.
 * @param keyed - The work and its key.
 * @returns The answer of the first attempt.
 *
 * @example
 * const reply = await serveOnce(state, keyed);
 */
export async function serveOnce(state: DaemonState, keyed: KeyedWork): Promise<Reply> {
    const lease = await ensureClaimLease(state);
    if (lease === undefined) {
        return refuseWithoutStore();
    }
    const proposal: ClaimRequest = {
        key: claimKey(state.environment, keyed.customer, keyed.idempotencyKey),
        requestDigest: sha256Hex(keyed.content),
        node: state.node,
        incarnation: state.incarnation,
        job: "",
        lease,
    };
    const claimed = await claimIdempotencyKey(state.store, proposal);
    if (claimed.isErr()) {
        return refuseWithoutStore();
    }
    switch (claimed.value.kind) {
        case "claimed":
            return runClaimed(state, proposal, claimed.value.revision, keyed);
        case "taken":
            return awaitAnswer(state, proposal.key, claimed.value.claim, keyed);
        case "reused":
            return refuse(Reason.KEY_REUSED, "The key belongs to a different request. Use a new key.");
        default:
            return claimed.value satisfies never;
    }
}

async function runClaimed(
    state: DaemonState,
    proposal: ClaimRequest,
    revision: number,
    keyed: KeyedWork,
): Promise<Reply> {
    const reply = await keyed.run();
    if (reply.outcome === Outcome.REFUSED) {
        await releaseClaim(state.store, proposal.key, revision);
        return reply;
    }
    const finished = await recordClaimAnswer(state.store, proposal, revision, toAnswer(reply));
    if (finished.isErr()) {
        state.log.warn("The answer to a claimed key is not kept.", { error: finished.error.message });
    }
    return reply;
}

async function awaitAnswer(
    state: DaemonState,
    key: string,
    claim: Claim,
    keyed: KeyedWork,
): Promise<Reply> {
    let current = claim;
    while (
        current.answer === undefined && performance.now() < keyed.deadline && isClaimantAlive(state, current)
    ) {
        await pause(CLAIM_POLL_MS);
        const read = await state.store.read(ClaimSchema, key);
        if (read.isOk() && read.value !== undefined) {
            current = read.value.message;
        }
    }
    return current.answer === undefined ? describeInterrupted() : fromAnswer(current.answer);
}

function isClaimantAlive(state: DaemonState, claim: Claim): boolean {
    return claim.node === state.node
        ? claim.incarnation === state.incarnation
        : state.membership.heartbeats().some(heartbeat => heartbeat.incarnation === claim.incarnation);
}

function toAnswer(reply: Reply): Answer {
    const body = Buffer.from(reply.answer ?? "", "utf8");
    const kept = body.length <= MAX_KEPT_ANSWER_BYTES;
    return create(AnswerSchema, {
        outcome: reply.outcome,
        reason: kept ? reply.reason : Reason.ANSWER_TOO_LARGE,
        status: reply.status,
        body: kept ? body : new Uint8Array(),
    });
}

function fromAnswer(answer: Answer): Reply {
    const { outcome, reason, status } = answer;
    const fields = { repeated: true };
    return answer.body.length === 0
        ? {
            outcome,
            reason,
            status,
            fields,
            message: "This is the outcome of the first attempt with this key.",
        }
        : { outcome, reason, status, fields, answer: Buffer.from(answer.body).toString("utf8") };
}

function describeInterrupted(): Reply {
    return {
        outcome: Outcome.UNKNOWN,
        reason: Reason.ATTEMPT_INTERRUPTED,
        status: 504,
        message:
            "The first attempt with this key has left no answer. Ask for its effect; it is not sent again.",
    };
}

function refuseWithoutStore(): Reply {
    const message = "The work is not idempotent and cannot be claimed now. It did not run; try again later.";
    return refuse(Reason.STORE_UNAVAILABLE, message, { retryAfterMs: 2_000 });
}
