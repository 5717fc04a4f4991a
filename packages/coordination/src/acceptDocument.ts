import type { Configuration } from "@balsamward/schema";
import { ConfigurationSchema, hashText, HistoryEntrySchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { HISTORY_LENGTH } from "./constants.js";
import type { Environment } from "./keys.js";
import { configurationKey } from "./keys.js";
import type { Store } from "./Store.js";
import type { StoreError } from "./StoreError.js";

/** Why a document was not accepted. */
export type AcceptanceError =
    | StoreError
    | {
        readonly kind: "superseded";
        readonly message: string;
        /** The configuration that is in force instead. */
        readonly winner: Configuration;
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
 * @returns The accepted configuration, or `superseded` with the winner, or a store error.
 *
 * @example
 * await acceptDocument(store, "trial", { text, author: "ana", expectedGeneration: undefined, nowMs });
 */
export async function acceptDocument(
    store: Store,
    environment: Environment,
    proposal: DocumentProposal,
): Promise<Result<Configuration, AcceptanceError>> {
    const key = configurationKey(environment);
    const current = await store.read(ConfigurationSchema, key);
    if (current.isErr()) {
        return err(current.error);
    }
    const previous = current.value?.message;
    const seen = previous?.generation ?? 0n;
    if (proposal.expectedGeneration !== undefined && proposal.expectedGeneration !== seen) {
        return err(superseded(environment, previous ?? create(ConfigurationSchema)));
    }
    const next = nextConfiguration(previous, proposal);
    const written = await store.write(ConfigurationSchema, {
        key,
        message: next,
        expected: current.value?.revision ?? 0,
    });
    if (written.isOk()) {
        return ok(next);
    }
    if (written.error.kind !== "conflict") {
        return err(written.error);
    }
    const winner = await store.read(ConfigurationSchema, key);
    return winner.isOk() && winner.value !== undefined
        ? err(superseded(environment, winner.value.message))
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
): Promise<Result<Configuration, AcceptanceError>> {
    const tried = await store.read(ConfigurationSchema, configurationKey("trial"));
    if (tried.isErr()) {
        return err(tried.error);
    }
    if (tried.value === undefined) {
        return err({
            kind: "nothing-tried",
            message: "No document is on trial. Run 'balsamward try FILE' first.",
        });
    }
    const { message } = tried.value;
    if (digest !== undefined && digest !== message.digest) {
        return err(superseded("trial", message));
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
        ...previous.history.slice(0, HISTORY_LENGTH - 1),
    ];
    return create(ConfigurationSchema, {
        generation: (previous?.generation ?? 0n) + 1n,
        digest: hashText(proposal.text),
        text: proposal.text,
        author: proposal.author,
        acceptedAtMs: BigInt(proposal.nowMs),
        history,
    });
}

function superseded(environment: Environment, winner: Configuration): AcceptanceError {
    return {
        kind: "superseded",
        winner,
        message: `Generation ${winner.generation} of '${environment}' by '${winner.author}' (digest `
            + `${winner.digest.slice(0, 12)}) came first. Compare with 'balsamward diff' and try again.`,
    };
}
