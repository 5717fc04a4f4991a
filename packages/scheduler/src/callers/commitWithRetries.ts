import type { Result } from "neverthrow";
import { err } from "neverthrow";
import { createBell } from "../_lib/createBell.js";
import type { StoreError, StoreTransaction } from "../ports/FleetStore.js";
import type { CallContext } from "./CallContext.js";

/** Time without an answer after which a write is sent once more beside the first, in milliseconds. */
const RESEND_AFTER_MS = 400;

/** Pause before a write whose answer is lost is sent again, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Share of the caller's time after which an unclear write is given up. */
const RETRY_TIME_SHARE = 0.5;

/** What the attempts have shown so far. */
type CommitAttempts = {
    /** An answer that settles the write. */
    finalResult: Result<number, StoreError> | undefined;
    /** The latest refusal that had no effect. */
    lastRefusal: Result<number, StoreError> | undefined;
    /** Whether an attempt without an answer may have had its effect. */
    mayBeCommitted: boolean;
    /** Attempts that are not answered yet. */
    unanswered: number;
};

/**
 * Commits a transaction that may be sent any number of times, since it takes effect once: it expects
 * what it changes, or writes the same value again.
 *
 * An answer that is lost or late is followed up by sending the transaction again, for half of the
 * time that the caller waits.
 *
 * @param context - What answering needs.
 * @param transaction - The transaction.
 * @param deadline - Steady time at which the caller stops waiting, in milliseconds.
 * @returns The revision of the commit, `conflict`, which may be that of an earlier attempt, a refusal
 * that has certainly had no effect, or `unclear`.
 */
export async function commitWithRetries(
    context: CallContext,
    transaction: StoreTransaction,
    deadline: number,
): Promise<Result<number, StoreError>> {
    const { clock } = context.cluster;
    const startedAt = clock();
    const giveUpAt = startedAt + (deadline - startedAt) * RETRY_TIME_SHARE;
    const attemptEnded = createBell(context.pause);
    const attempts: CommitAttempts = {
        finalResult: undefined,
        lastRefusal: undefined,
        mayBeCommitted: false,
        unanswered: 0,
    };
    const neverAborted = new AbortController().signal;
    while (true) {
        void attemptCommit(context, transaction, attempts).then(attemptEnded.ring);
        await attemptEnded.wait(RESEND_AFTER_MS, neverAborted);
        if (attempts.finalResult !== undefined) {
            return attempts.finalResult;
        }
        if (attempts.unanswered === 0 && !attempts.mayBeCommitted && attempts.lastRefusal !== undefined) {
            return attempts.lastRefusal;
        }
        if (clock() + RETRY_PAUSE_MS >= giveUpAt) {
            return err({ kind: "unclear", message: "The store's answers are lost. Send the write again." });
        }
        await context.pause(RETRY_PAUSE_MS);
    }
}

async function attemptCommit(
    context: CallContext,
    transaction: StoreTransaction,
    attempts: CommitAttempts,
): Promise<void> {
    attempts.unanswered += 1;
    const result = await context.store.commit(transaction);
    attempts.unanswered -= 1;
    switch (result.isOk() ? "done" : result.error.kind) {
        case "done":
        case "conflict":
        case "invalid":
            attempts.finalResult ??= result;
            return;
        case "unclear":
            attempts.mayBeCommitted = true;
            return;
        case "unavailable":
        case "compacted":
        case "lease-ended":
            attempts.lastRefusal = result;
    }
}
