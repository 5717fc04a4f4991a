import type { AcceptDocumentError, Environment } from "@balsamward/coordination";
import { acceptDocument, configurationKey, promoteDocument } from "@balsamward/coordination";
import { checkDocument } from "@balsamward/placement";
import type { Configuration } from "@balsamward/schema";
import { ConfigurationSchema, Outcome, Reason } from "@balsamward/schema";
import { refuse } from "../callers/refuse.js";
import type { Reply } from "../callers/Reply.js";
import type { DaemonState } from "../DaemonState.js";
import { createSuccessReply } from "./createSuccessReply.js";

/** The fields of an operator's request to try or promote a document. */
export type OperatorFields = {
    readonly text?: string;
    readonly author?: string;
    readonly digest?: string;
    readonly expected_generation?: number;
};

/**
 * Checks a document and accepts it as the configuration of the trial environment.
 *
 * @param state - The daemon's state.
 * @param fields - The document's text and its author.
 * @returns The reply with the accepted generation, or a refusal with every error in the document.
 *
 * @example
 * await tryDocument(state, { text, author: "ana" });
 */
export async function tryDocument(state: DaemonState, fields: OperatorFields): Promise<Reply> {
    const text = fields.text ?? "";
    const checked = checkDocument(text);
    if (checked.isErr()) {
        return refuse(Reason.BAD_DOCUMENT, checked.error.map(error => error.message).join("\n"));
    }
    const accepted = await acceptDocument(state.store, "trial", { text, ...toProposal(fields) });
    return accepted.isOk()
        ? replyAccepted(state, "trial", accepted.value)
        : replyRejected(accepted.error);
}

/**
 * Promotes the document of the trial environment, byte for byte, to production.
 *
 * @param state - The daemon's state.
 * @param fields - The digest of the tried document and the author.
 * @returns The reply with the accepted generation, or a refusal.
 *
 * @example
 * await promoteTrialDocument(state, { digest, author: "ana" });
 */
export async function promoteTrialDocument(state: DaemonState, fields: OperatorFields): Promise<Reply> {
    const promoted = await promoteDocument(state.store, fields.digest, toProposal(fields));
    return promoted.isOk()
        ? replyAccepted(state, "production", promoted.value)
        : replyRejected(promoted.error);
}

/**
 * Describes the configuration of an environment and its history.
 *
 * @param state - The daemon's state.
 * @param environment - The environment.
 * @returns The reply, or a refusal if the store is unavailable or the environment has no configuration.
 *
 * @example
 * await showConfiguration(state, "production");
 */
export async function showConfiguration(state: DaemonState, environment: Environment): Promise<Reply> {
    const read = await state.store.read(ConfigurationSchema, configurationKey(environment));
    if (read.isErr()) {
        return refuse(Reason.STORE_UNAVAILABLE, read.error.message, { retryAfterMs: 2_000 });
    }
    if (read.value === undefined) {
        return refuse(
            Reason.NOT_FOUND,
            `No document is in force in '${environment}'. Run 'balsamward try FILE'.`,
        );
    }
    const { generation, digest, text, author, acceptedAtMs, history } = read.value.message;
    const entries = [{ generation, digest, author, acceptedAtMs }, ...history];
    return createSuccessReply({
        environment,
        generation: Number(generation),
        digest,
        text,
        history: entries.map(entry => ({
            generation: Number(entry.generation),
            digest: entry.digest,
            author: entry.author,
            accepted_at_ms: Number(entry.acceptedAtMs),
        })),
    });
}

function toProposal(fields: OperatorFields) {
    return {
        author: fields.author ?? "unknown",
        expectedGeneration: fields.expected_generation === undefined
            ? undefined
            : BigInt(fields.expected_generation),
        nowMs: Date.now(),
    };
}

function replyAccepted(state: DaemonState, environment: Environment, configuration: Configuration): Reply {
    if (environment === state.environment) {
        state.configurationTracker.applyIfNewer(configuration);
    }
    const { generation, digest } = configuration;
    return createSuccessReply({ environment, generation: Number(generation), digest });
}

function replyRejected(error: AcceptDocumentError): Reply {
    switch (error.kind) {
        case "superseded":
        case "conflict":
            return refuse(Reason.CONFLICT, error.message);
        case "nothing-tried":
            return refuse(Reason.NOT_FOUND, error.message);
        case "unclear": {
            const message =
                `${error.message} Run 'balsamward history' to see whether the document is in force.`;
            return { outcome: Outcome.UNKNOWN, reason: Reason.STORE_UNCLEAR, status: 504, message };
        }
        default:
            return refuse(Reason.STORE_UNAVAILABLE, error.message, { retryAfterMs: 2_000 });
    }
}
