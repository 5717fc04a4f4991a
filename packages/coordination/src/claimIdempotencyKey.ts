import type { Answer, Claim } from "@balsamward/schema";
import { ClaimSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Store } from "./Store.js";
import type { StoreError } from "./StoreError.js";

/** The result of a claim on an idempotency key. */
export type ClaimResult =
    /** The caller holds the claim and may run the work once. */
    | { readonly kind: "claimed"; readonly revision: number; readonly claim: Claim }
    /** An earlier attempt at the same request holds the claim. */
    | { readonly kind: "taken"; readonly revision: number; readonly claim: Claim }
    /** The key was used for a different request. */
    | { readonly kind: "reused" };

/** A claim to be made, with the daemon that makes it and the request that it is for. */
export type ClaimRequest = {
    /** Store key of the claim. */
    readonly key: string;
    /** SHA-256 digest of the request, to detect an idempotency key that is used for two requests. */
    readonly requestDigest: string;
    readonly node: string;
    readonly incarnation: string;
    /** Job that the idempotency key belongs to; empty for a request. */
    readonly job: string;
    /** Lease at whose end the store removes the claim. */
    readonly lease: string;
};

/**
 * Claims an idempotency key, which must happen before its work is sent to an endpoint.
 *
 * @param store - The store.
 * @param request - The claim.
 * @returns Whether the caller may run the work, or a store error, after which the work must not be sent.
 *
 * @example
 * const claimed = await claimIdempotencyKey(store, request);
 */
export async function claimIdempotencyKey(
    store: Store,
    request: ClaimRequest,
): Promise<Result<ClaimResult, StoreError>> {
    const { key, lease, ...fields } = request;
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
        return err({ kind: "unavailable", message: "The claim was removed while it was read. Try again." });
    }
    const { message, revision } = existing.value;
    return ok(
        message.requestDigest === request.requestDigest
            ? { kind: "taken", revision, claim: message }
            : { kind: "reused" },
    );
}

/**
 * Stores the answer of claimed work, so that a repeated request receives the same answer.
 *
 * @param store - The store.
 * @param request - The claim as it was made.
 * @param revision - Revision of the claim.
 * @param answer - The final answer.
 * @returns The new revision, or a store error; the work must not run again in either case.
 *
 * @example
 * await recordClaimAnswer(store, request, claimed.revision, answer);
 */
export async function recordClaimAnswer(
    store: Store,
    request: ClaimRequest,
    revision: number,
    answer: Answer,
): Promise<Result<number, StoreError>> {
    const { key, lease, ...fields } = request;
    return store.write(ClaimSchema, {
        key,
        message: create(ClaimSchema, { ...fields, answer }),
        expectedRevision: revision,
        lease,
    });
}

/**
 * Removes the claim on an idempotency key whose work did not run, so that a repeated request may run it.
 *
 * @param store - The store.
 * @param key - Store key of the claim.
 * @param revision - Revision of the claim.
 *
 * @example
 * await releaseClaim(store, request.key, claimed.revision);
 */
export async function releaseClaim(store: Store, key: string, revision: number): Promise<void> {
    await store.transport.remove(key, revision);
}
