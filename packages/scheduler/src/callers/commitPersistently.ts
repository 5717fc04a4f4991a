import type { Result } from "neverthrow";
import { err } from "neverthrow";
import { createWakeSignal } from "../_lib/createWakeSignal.js";
import type { StoreError, StoreTransaction } from "../ports/FleetStore.js";
import type { Desk } from "./Desk.js";

/** Time without an answer after which a write is sent once more beside the first, in milliseconds. */
const RESEND_MS = 400;

/** Pause before a write whose answer is lost is sent again, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Share of the caller's time after which an unclear write is given up. */
const FOLLOW_UP_SHARE = 0.5;

/** What the attempts have shown so far. */
type Findings = {
    /** An answer that settles the write. */
    verdict: Result<number, StoreError> | undefined;
    /** The latest refusal that had no effect. */
    refusal: Result<number, StoreError> | undefined;
    /** Whether an attempt without an answer may have had its effect. */
    mayBeDone: boolean;
    /** Attempts that are not answered yet. */
    open: number;
};

/**
 * Commits a transaction that may be sent any number of times, since it takes effect once: it expects
 * what it changes, or writes the same value again.
 *
 * An answer that is lost or late is followed up by sending the transaction again, for half of the
 * time that the caller waits.
 *
 * @param desk - What answering needs.
 * @param transaction - The transaction.
 * @param deadline - Steady time at which the caller stops waiting, in milliseconds.
 * @returns The revision of the commit, `conflict`, which may be that of an earlier attempt, a refusal
 * that has certainly had no effect, or `unclear`.
 */
export async function commitPersistently(
    desk: Desk,
    transaction: StoreTransaction,
    deadline: number,
): Promise<Result<number, StoreError>> {
    const { clock } = desk.cluster;
    const begunAt = clock();
    const giveUpAt = begunAt + (deadline - begunAt) * FOLLOW_UP_SHARE;
    const bell = createWakeSignal(desk.pause);
    const findings: Findings = { verdict: undefined, refusal: undefined, mayBeDone: false, open: 0 };
    const never = new AbortController().signal;
    while (true) {
        void attempt(desk, transaction, findings).then(bell.notify);
        await bell.wait(RESEND_MS, never);
        if (findings.verdict !== undefined) {
            return findings.verdict;
        }
        if (findings.open === 0 && !findings.mayBeDone && findings.refusal !== undefined) {
            return findings.refusal;
        }
        if (clock() + RETRY_PAUSE_MS >= giveUpAt) {
            return err({ kind: "unclear", message: "The store's answers are lost. Send the write again." });
        }
        await desk.pause(RETRY_PAUSE_MS);
    }
}

async function attempt(desk: Desk, transaction: StoreTransaction, findings: Findings): Promise<void> {
    findings.open += 1;
    const result = await desk.store.commit(transaction);
    findings.open -= 1;
    switch (result.isOk() ? "done" : result.error.kind) {
        case "done":
        case "conflict":
        case "invalid":
            findings.verdict ??= result;
            return;
        case "unclear":
            findings.mayBeDone = true;
            return;
        case "unavailable":
        case "compacted":
        case "lease-ended":
            findings.refusal = result;
    }
}
