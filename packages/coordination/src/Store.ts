import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import { MAX_UNCLEAR_WRITE_CHECKS, UNCLEAR_WRITE_BACKOFF_MS } from "./constants.js";
import { decodeEnvelope, encodeEnvelope } from "./envelope.js";
import type { StoreError } from "./StoreError.js";
import type { StoreTransport } from "./StoreTransport.js";

/** A message of the store with its revision. */
export type VersionedMessage<Desc extends DescMessage> = {
    readonly key: string;
    readonly revision: number;
    readonly message: MessageShape<Desc>;
};

/** A compare-and-swap of a message. */
export type MessageWrite<Desc extends DescMessage> = {
    readonly key: string;
    readonly message: MessageShape<Desc>;
    /** Revision that the value must have; 0 if it must be absent. */
    readonly expectedRevision: number;
    /** Lease with which the value ends. */
    readonly lease?: string;
};

/** Typed access to the platform's key-value service. */
export type Store = ReturnType<typeof createStore>;

/** Options of `createStore`. */
export type CreateStoreOptions = {
    /** Returns a text that no other write has. */
    readonly createNonce?: () => string;
    /** Waits for a time in milliseconds. */
    readonly pause?: (ms: number) => Promise<void>;
};

/**
 * Creates typed access to the store.
 *
 * Every write carries a nonce. A write whose answer is lost is resolved by reading back; if it has
 * not taken effect, the same swap is sent again, which is safe because only one of the two can match
 * the expected revision.
 *
 * @param transport - The calls of the service.
 * @param options - Sources of nonces and pauses.
 * @returns The typed operations, beside the transport itself.
 *
 * @example
 * const store = createStore(createHttpStore("http://127.0.0.1:7001"));
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
                ? await transport.write(rawWrite)
                : err({ kind: "conflict", message: "The value has changed. Read it again.", revision });
            // A conflict may come from the first sending, which arrived late.
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

function readNonce(desc: DescMessage, bytes: Uint8Array): string | undefined {
    return decodeEnvelope(desc, bytes).map(opened => opened.nonce).unwrapOr(undefined);
}
