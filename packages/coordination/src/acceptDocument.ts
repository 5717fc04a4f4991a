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

/** The reason why a document was not accepted. */
export type AcceptDocumentError =
    | StoreError
    | {
        readonly kind: "superseded";
        readonly message: string;
        /** The configuration in force, which the operator has not seen. */
        readonly current: Configuration;
    }
    | { readonly kind: "nothing-tried"; readonly message: string };

/** A document that an operator asks to put into force. */
export type DocumentProposal = {
    readonly text: string;
    readonly author: string;
    /** Generation that must be in force; `undefined` accepts any. */
    readonly expectedGeneration: bigint | undefined;
    /** Time of acceptance in milliseconds since the Unix epoch. */
    readonly nowMs: number;
};

/**
 * Stores a document as the configuration of an environment, with the next generation.
 *
 * If two operators submit documents concurrently, one document is accepted and the other operator receives
 * `superseded` with the accepted configuration.
 *
 * @param store - The store.
 * @param environment - The environment.
 * @param proposal - The document, already validated, with its author.
 * @returns The accepted configuration, `superseded` with the configuration in force, or a store error.
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
        return err(createSupersededError(environment, previous ?? create(ConfigurationSchema)));
    }
    const next = createNextConfiguration(previous, proposal);
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
        ? err(createSupersededError(environment, latest.value.message))
        : err(written.error);
}

/**
 * Stores the trial environment's document, byte for byte, as the configuration of production.
 *
 * @param store - The store.
 * @param digest - SHA-256 digest that the trial environment's document must have; `undefined` accepts any.
 * @param proposal - Author, expected generation of production and time of acceptance.
 * @returns The accepted configuration of production, `superseded` if the trial environment has another
 * document or production another generation, `nothing-tried` if there is no document to promote, or a store
 * error.
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
            message: "The trial environment has no document. Run 'balsamward try FILE' first.",
        });
    }
    const { message } = trial.value;
    if (digest !== undefined && digest !== message.digest) {
        return err(createSupersededError("trial", message));
    }
    return acceptDocument(store, "production", { ...proposal, text: message.text });
}

function createNextConfiguration(
    previous: Configuration | undefined,
    proposal: DocumentProposal,
): Configuration {
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

function createSupersededError(environment: Environment, current: Configuration): AcceptDocumentError {
    return {
        kind: "superseded",
        current,
        message: `Generation ${current.generation} of '${environment}' by '${current.author}' (digest `
            + `${
                current.digest.slice(0, 12)
            }) is already in force. Compare with 'balsamward diff' and try again.`,
    };
}
