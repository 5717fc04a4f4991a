import type { Result } from "neverthrow";
import { err } from "neverthrow";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import type { StoreError, StoreTransaction } from "../ports/FleetStore.js";
import type { CallContext } from "./CallContext.js";

/** Time without an answer after which a write is sent again while the first is still pending, in milliseconds. */
const RESEND_AFTER_MS = 400;

/** Pause before a write is sent again, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Fraction of the caller's remaining time that is spent on retries of an unclear write. */
const RETRY_TIME_SHARE = 0.5;

/** Outcome of the attempts so far. */
type Findings = {
    /** An answer that settles the write. */
    finalResult: Result<number, StoreError> | undefined;
    /** The latest refusal that had no effect. */
    refusal: Result<number, StoreError> | undefined;
    /** Whether an attempt whose answer was lost may have had its effect. */
    mayBeCommitted: boolean;
    /** Number of attempts that are not answered yet. */
    unanswered: number;
};

/**
 * Commits an idempotent transaction, and sends it again if its answer is lost or late.
 *
 * Repeated sends are safe because the transaction expects the revisions of what it changes, or writes the same
 * value again. They end after half of the time for which the caller waits, so that an unclear outcome can still
 * be reported to the caller.
 *
 * @param context - The services that the call uses.
 * @param transaction - The transaction.
 * @param deadline - Monotonic time at which the caller stops waiting, in milliseconds.
 * @returns The revision of the commit, or an error: `conflict`, which an earlier attempt may have caused;
 * `unclear` if the outcome is unknown; any other error if no attempt had an effect.
 */
export async function commitWithRetries(
    context: CallContext,
    transaction: StoreTransaction,
    deadline: number,
): Promise<Result<number, StoreError>> {
    const { clock } = context.cluster;
    const startedAt = clock();
    const giveUpAt = startedAt + (deadline - startedAt) * RETRY_TIME_SHARE;
    const attemptEnded = createWakeSignal(context.pause);
    const findings: Findings = {
        finalResult: undefined,
        refusal: undefined,
        mayBeCommitted: false,
        unanswered: 0,
    };
    const neverAborted = new AbortController().signal;
    while (true) {
        void attemptCommit(context, transaction, findings).then(attemptEnded.notify);
        await attemptEnded.wait(RESEND_AFTER_MS, neverAborted);
        if (findings.finalResult !== undefined) {
            return findings.finalResult;
        }
        if (findings.unanswered === 0 && !findings.mayBeCommitted && findings.refusal !== undefined) {
            return findings.refusal;
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
    findings: Findings,
): Promise<void> {
    findings.unanswered += 1;
    const result = await context.store.commit(transaction);
    findings.unanswered -= 1;
    switch (result.isOk() ? "done" : result.error.kind) {
        case "done":
        case "conflict":
        case "invalid":
            findings.finalResult ??= result;
            return;
        case "unclear":
            findings.mayBeCommitted = true;
            return;
        case "unavailable":
        case "compacted":
        case "lease-ended":
            findings.refusal = result;
    }
}
