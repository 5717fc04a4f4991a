import type { Result } from "neverthrow";
import { err } from "neverthrow";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import type { StoreError, StoreTransaction } from "../ports/FleetStore.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";

/** Time without an answer after which a write is sent again while the first is still pending, in milliseconds. */
const RESEND_AFTER_MS = 400;

/** Pause before a write is sent again, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Fraction of the caller's remaining time that is spent on retries of an unclear write. */
const RETRY_TIME_SHARE = 0.5;

/** Error of a write of which no attempt has been made. */
const NOT_SENT: StoreError = { kind: "unavailable", message: "The write is not sent. Send it later." };

/** Outcome of the attempts so far. */
type Findings = {
    /** An answer that settles the write: it is done, or no attempt can have an effect any more. */
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
 * value again. They end after half of the time for which the caller waits, and the last one is awaited until the
 * deadline at most, so that an unclear outcome can still be reported to the caller.
 *
 * @param context - The services that the call uses.
 * @param transaction - The transaction.
 * @param bounds - The deadline, and the signal on which the outcome is reported by what is known.
 * @returns The revision of the commit, or an error: `conflict`, which an earlier attempt may have caused;
 * `unclear` if the outcome is unknown; any other error if no attempt had an effect.
 */
export async function commitWithRetries(
    context: CallContext,
    transaction: StoreTransaction,
    { deadline, signal }: CallBounds,
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
    while (!signal.aborted) {
        void attemptCommit(context, transaction, findings).then(attemptEnded.notify);
        await attemptEnded.wait(Math.min(RESEND_AFTER_MS, Math.max(0, deadline - clock())), signal);
        const outcome = findOutcome(findings);
        if (outcome !== undefined) {
            return outcome;
        }
        if (clock() + RETRY_PAUSE_MS >= giveUpAt) {
            break;
        }
        await context.pause(RETRY_PAUSE_MS, signal);
    }
    return findOutcome(findings)
        ?? err({ kind: "unclear", message: "The store's answers are lost. Send the write again." });
}

/** Returns the outcome of a write if it is certain; no attempt must be made after a refusal. */
function findOutcome(
    { finalResult, refusal, unanswered, mayBeCommitted }: Findings,
): Result<number, StoreError> | undefined {
    const mayTakeEffect = unanswered > 0 || mayBeCommitted;
    return finalResult ?? (mayTakeEffect ? undefined : refusal ?? err(NOT_SENT));
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
            findings.finalResult ??= result;
            return;
        case "unclear":
            findings.mayBeCommitted = true;
            return;
        case "unavailable":
        case "compacted":
        case "lease-ended":
        case "invalid":
            findings.refusal = result;
    }
}
