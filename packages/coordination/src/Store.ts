import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import { MAX_UNCLEAR_WRITE_CHECKS, UNCLEAR_WRITE_BACKOFF_MS } from "./constants.js";
import { decodeEnvelope, encodeEnvelope } from "./envelope.js";
import type { StoreError } from "./StoreError.js";
import type { StoreTransport } from "./StoreTransport.js";

/** A stored message with its key and revision. */
export type VersionedMessage<Desc extends DescMessage> = {
    readonly key: string;
    readonly revision: number;
    readonly message: MessageShape<Desc>;
};

/** A compare-and-swap write of a message. */
export type MessageWrite<Desc extends DescMessage> = {
    readonly key: string;
    readonly message: MessageShape<Desc>;
    /** Revision that the stored value must have; 0 if the key must not exist. */
    readonly expectedRevision: number;
    /** Lease at whose end the store removes the value; without one the value is kept. */
    readonly lease?: string;
};

/** Reads and writes typed messages in the platform's key-value service. */
export type Store = ReturnType<typeof createStore>;

/** Options of `createStore`. */
export type CreateStoreOptions = {
    /** Returns a text that is unique to one write. Defaults to a random UUID. */
    readonly createNonce?: () => string;
    /** Waits for the given time in milliseconds. */
    readonly pause?: (ms: number) => Promise<void>;
};

/**
 * Creates a store that reads and writes typed messages through a transport.
 *
 * Every write carries a nonce. If the response to a write is lost, the value is read back. If the write
 * has not taken effect, it is sent again, which is safe because only one of the two can match the
 * expected revision. It stays unclear if the second one is refused, as the first may still be carried out.
 *
 * @param transport - The calls of the key-value service.
 * @param options - Replacements for the nonce generator and the timer.
 * @returns The typed operations and the transport.
 *
 * @example
 * const store = createStore(createHttpStoreTransport("http://127.0.0.1:7001"));
 */
export function createStore(transport: StoreTransport, options: CreateStoreOptions = {}) {
    const createNonce = options.createNonce ?? randomUUID;
    const pause = options.pause ?? (ms => new Promise(resolve => setTimeout(resolve, ms)));

    async function read<Desc extends DescMessage>(
        desc: Desc,
        key: string,
    ): Promise<Result<VersionedMessage<Desc> | undefined, StoreError>> {
        const stored = await transport.get(key);
        if (stored.isErr()) {
            return err(stored.error);
        }
        const { value } = stored;
        return value === undefined
            ? ok(undefined)
            : decodeEnvelope(desc, value.bytes).map(({ message }) => ({
                key,
                revision: value.revision,
                message,
            }));
    }

    async function write<Desc extends DescMessage>(
        desc: Desc,
        messageWrite: MessageWrite<Desc>,
    ): Promise<Result<number, StoreError>> {
        const nonce = createNonce();
        const bytes = encodeEnvelope(desc, messageWrite.message, nonce);
        const rawWrite = {
            key: messageWrite.key,
            bytes,
            expectedRevision: messageWrite.expectedRevision,
            lease: messageWrite.lease,
        };
        let result: Result<number, StoreError> = await transport.write(rawWrite);
        for (let attempt = 0; attempt < MAX_UNCLEAR_WRITE_CHECKS && isUnclear(result); attempt++) {
            await pause(UNCLEAR_WRITE_BACKOFF_MS * 2 ** attempt);
            const current = await transport.get(messageWrite.key);
            if (current.isErr()) {
                continue;
            }
            const revision = current.value?.revision ?? 0;
            if (current.value !== undefined && readNonce(desc, current.value.bytes) === nonce) {
                return ok(revision);
            }
            result = revision === messageWrite.expectedRevision
                ? keepUnclear(await transport.write(rawWrite))
                : err({
                    kind: "conflict",
                    message: "The value has changed since it was read. Read it again.",
                    revision,
                });
            // The conflict may be with the first copy of this write, if that copy arrived late.
            result = await resolveConflict(desc, messageWrite.key, nonce, result);
        }
        return result;
    }

    async function resolveConflict<Desc extends DescMessage>(
        desc: Desc,
        key: string,
        nonce: string,
        result: Result<number, StoreError>,
    ): Promise<Result<number, StoreError>> {
        if (result.isOk() || result.error.kind !== "conflict") {
            return result;
        }
        const current = await transport.get(key);
        const isOwnWrite = current.isOk() && current.value !== undefined
            && readNonce(desc, current.value.bytes) === nonce;
        return isOwnWrite ? ok(current.value!.revision) : result;
    }

    return { transport, read, write };
}

function isUnclear(result: Result<number, StoreError>): boolean {
    return result.isErr() && result.error.kind === "unclear";
}

/**
 * Returns the result of a write that repeats an unanswered one. Only success, a conflict or the end of the lease
 * settles both: after any other refusal, the first may still be carried out.
 */
function keepUnclear(result: Result<number, StoreError>): Result<number, StoreError> {
    if (result.isOk()) {
        return result;
    }
    switch (result.error.kind) {
        case "conflict":
        case "lease-lost":
        case "unclear":
            return result;
        case "unavailable":
        case "too-large":
        case "unreadable":
        case "compacted":
            return err({ kind: "unclear", message: result.error.message });
        default:
            return result.error satisfies never;
    }
}

function readNonce(desc: DescMessage, bytes: Uint8Array): string | undefined {
    return decodeEnvelope(desc, bytes).map(decoded => decoded.nonce).unwrapOr(undefined);
}
