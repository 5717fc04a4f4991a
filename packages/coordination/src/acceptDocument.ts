import type { Configuration } from "@balsamward/schema";
import { ConfigurationSchema, HistoryEntrySchema, sha256Hex } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { MAX_HISTORY_ENTRIES } from "./constants.js";
import type { Environment } from "./keys.js";
import { configurationKey } from "./keys.js";
import type { Store } from "./Store.js";
import type { StoreError } from "./StoreError.js";

/** Why a document was not accepted. */
export type AcceptDocumentError =
    | StoreError
    | {
        readonly kind: "superseded";
        readonly message: string;
        /** The configuration that is in force instead. */
        readonly current: Configuration;
    }
    | { readonly kind: "nothing-tried"; readonly message: string };

/** A document that an operator wants in force. */
export type DocumentProposal = {
    readonly text: string;
    readonly author: string;
    /** Generation that the operator has seen; another one in force is a conflict. */
    readonly expectedGeneration: bigint | undefined;
    /** Time in milliseconds since the epoch. */
    readonly nowMs: number;
};

/**
 * Makes a document the configuration of an environment.
 *
 * The generation grows by one. Of two operators that race, one wins; the other learns who won.
 *
 * @param store - The store.
 * @param environment - The environment.
 * @param proposal - The document, already checked.
 * @returns The accepted configuration, or `superseded` with the configuration in force, or a store error.
 *
 * @example
 * await acceptDocument(store, "trial", { text, author: "ana", expectedGeneration: undefined, nowMs });
 */
export async function acceptDocument(
    store: Store,
    environment: Environment,
    proposal: DocumentProposal,
): Promise<Result<Configuration, AcceptDocumentError>> {
    const key = configurationKey(environment);
    const current = await store.read(ConfigurationSchema, key);
    if (current.isErr()) {
        return err(current.error);
    }
    const previous = current.value?.message;
    const currentGeneration = previous?.generation ?? 0n;
    if (proposal.expectedGeneration !== undefined && proposal.expectedGeneration !== currentGeneration) {
        return err(supersededError(environment, previous ?? create(ConfigurationSchema)));
    }
    const next = nextConfiguration(previous, proposal);
    const written = await store.write(ConfigurationSchema, {
        key,
        message: next,
        expectedRevision: current.value?.revision ?? 0,
    });
    if (written.isOk()) {
        return ok(next);
    }
    if (written.error.kind !== "conflict") {
        return err(written.error);
    }
    const latest = await store.read(ConfigurationSchema, key);
    return latest.isOk() && latest.value !== undefined
        ? err(supersededError(environment, latest.value.message))
        : err(written.error);
}

/**
 * Puts the document of the trial environment, byte for byte, into production.
 *
 * @param store - The store.
 * @param digest - SHA-256 digest of the document that was tried; another one in trial is a conflict.
 * @param proposal - Author, expected generation of production and time.
 * @returns The accepted configuration of production, or why nothing was promoted.
 *
 * @example
 * await promoteDocument(store, digest, { author: "ana", expectedGeneration: undefined, nowMs });
 */
export async function promoteDocument(
    store: Store,
    digest: string | undefined,
    proposal: Omit<DocumentProposal, "text">,
): Promise<Result<Configuration, AcceptDocumentError>> {
    const trial = await store.read(ConfigurationSchema, configurationKey("trial"));
    if (trial.isErr()) {
        return err(trial.error);
    }
    if (trial.value === undefined) {
        return err({
            kind: "nothing-tried",
            message: "No document is on trial. Run 'balsamward try FILE' first.",
        });
    }
    const { message } = trial.value;
    if (digest !== undefined && digest !== message.digest) {
        return err(supersededError("trial", message));
    }
    return acceptDocument(store, "production", { ...proposal, text: message.text });
}

function nextConfiguration(previous: Configuration | undefined, proposal: DocumentProposal): Configuration {
    const history = previous === undefined ? [] : [
        create(HistoryEntrySchema, {
            generation: previous.generation,
            digest: previous.digest,
            author: previous.author,
            acceptedAtMs: previous.acceptedAtMs,
        }),
        ...previous.history.slice(0, MAX_HISTORY_ENTRIES - 1),
    ];
    return create(ConfigurationSchema, {
        generation: (previous?.generation ?? 0n) + 1n,
        digest: sha256Hex(proposal.text),
        text: proposal.text,
        author: proposal.author,
        acceptedAtMs: BigInt(proposal.nowMs),
        history,
    });
}

function supersededError(environment: Environment, current: Configuration): AcceptDocumentError {
    return {
        kind: "superseded",
        current,
        message: `Generation ${current.generation} of '${environment}' by '${current.author}' (digest `
            + `${current.digest.slice(0, 12)}) came first. Compare with 'balsamward diff' and try again.`,
    };
}
