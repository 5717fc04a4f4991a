import type { Answer, Claim } from "@balsamward/schema";
import { ClaimSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Store } from "./Store.js";
import type { StoreError } from "./StoreError.js";

/** What a claim on an idempotency key found. */
export type ClaimResult =
    /** The key is now claimed for the caller, who may run the work once. */
    | { readonly kind: "claimed"; readonly revision: number; readonly claim: Claim }
    /** Another attempt came first. */
    | { readonly kind: "taken"; readonly revision: number; readonly claim: Claim }
    /** The key was used for a different request. */
    | { readonly kind: "reused" };

/** Who claims which request. */
export type ClaimRequest = {
    readonly key: string;
    /** SHA-256 digest of the request, so that a key used for two requests is recognized. */
    readonly requestDigest: string;
    readonly node: string;
    readonly incarnation: string;
    /** Job that the key stands for; empty for a request. */
    readonly job: string;
    /** Lease whose end lets the claim be forgotten. */
    readonly lease: string;
};

/**
 * Claims an idempotency key before its work is sent.
 *
 * @param store - The store.
 * @param proposal - The key and who claims it.
 * @returns Whether the caller may run the work, or a store error, after which nothing may be sent.
 *
 * @example
 * const claimed = await claimIdempotencyKey(store, proposal);
 */
export async function claimIdempotencyKey(
    store: Store,
    proposal: ClaimRequest,
): Promise<Result<ClaimResult, StoreError>> {
    const { key, lease, ...fields } = proposal;
    const claim = create(ClaimSchema, fields);
    const written = await store.write(ClaimSchema, { key, message: claim, expectedRevision: 0, lease });
    if (written.isOk()) {
        return ok({ kind: "claimed", revision: written.value, claim });
    }
    if (written.error.kind !== "conflict") {
        return err(written.error);
    }
    const existing = await store.read(ClaimSchema, key);
    if (existing.isErr()) {
        return err(existing.error);
    }
    if (existing.value === undefined) {
        return err({ kind: "unavailable", message: "The claim has just ended. Try again." });
    }
    const { message, revision } = existing.value;
    return ok(
        message.requestDigest === proposal.requestDigest
            ? { kind: "taken", revision, claim: message }
            : { kind: "reused" },
    );
}

/**
 * Records the answer of claimed work, so that a repeat returns it.
 *
 * @param store - The store.
 * @param proposal - The claim as it was made.
 * @param revision - Revision of the claim.
 * @param answer - The final answer.
 * @returns The new revision, or a store error; the work is not run again in either case.
 *
 * @example
 * await recordClaimAnswer(store, proposal, claimed.revision, answer);
 */
export async function recordClaimAnswer(
    store: Store,
    proposal: ClaimRequest,
    revision: number,
    answer: Answer,
): Promise<Result<number, StoreError>> {
    const { key, lease, ...fields } = proposal;
    return store.write(ClaimSchema, {
        key,
        message: create(ClaimSchema, { ...fields, answer }),
        expectedRevision: revision,
        lease,
    });
}

/**
 * Frees an idempotency key whose work was not run, so that a repeat may run it.
 *
 * @param store - The store.
 * @param key - The claim's key.
 * @param revision - Revision of the claim.
 *
 * @example
 * await releaseClaim(store, proposal.key, claimed.revision);
 */
export async function releaseClaim(store: Store, key: string, revision: number): Promise<void> {
    await store.transport.remove(key, revision);
}
