import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import { UNCLEAR_WRITE_ATTEMPTS, UNCLEAR_WRITE_PAUSE_MS } from "./constants.js";
import { openEnvelope, sealEnvelope } from "./envelope.js";
import type { StoreError } from "./StoreError.js";
import type { StoreTransport } from "./StoreTransport.js";

/** A message of the store with its revision. */
export type Versioned<Desc extends DescMessage> = {
    readonly key: string;
    readonly revision: number;
    readonly message: MessageShape<Desc>;
};

/** A compare-and-swap of a message. */
export type MessageWrite<Desc extends DescMessage> = {
    readonly key: string;
    readonly message: MessageShape<Desc>;
    /** Revision that the value must have; 0 if it must be absent. */
    readonly expected: number;
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
    ): Promise<Result<Versioned<Desc> | undefined, StoreError>> {
        const raw = await transport.get(key);
        if (raw.isErr()) {
            return err(raw.error);
        }
        const { value } = raw;
        return value === undefined
            ? ok(undefined)
            : openEnvelope(desc, value.bytes).map(({ message }) => ({
                key,
                revision: value.revision,
                message,
            }));
    }

    async function write<Desc extends DescMessage>(
        desc: Desc,
        swap: MessageWrite<Desc>,
    ): Promise<Result<number, StoreError>> {
        const nonce = createNonce();
        const bytes = sealEnvelope(desc, swap.message, nonce);
        const raw = { key: swap.key, bytes, expected: swap.expected, lease: swap.lease };
        let result: Result<number, StoreError> = await transport.write(raw);
        for (let attempt = 0; attempt < UNCLEAR_WRITE_ATTEMPTS && isUnclear(result); attempt++) {
            await pause(UNCLEAR_WRITE_PAUSE_MS * 2 ** attempt);
            const seen = await transport.get(swap.key);
            if (seen.isErr()) {
                continue;
            }
            const revision = seen.value?.revision ?? 0;
            if (seen.value !== undefined && nonceOf(desc, seen.value.bytes) === nonce) {
                return ok(revision);
            }
            result = revision === swap.expected
                ? await transport.write(raw)
                : err({ kind: "conflict", message: "The value has changed. Read it again.", revision });
            // A conflict may come from the first sending, which arrived late.
            result = await settleConflict(desc, swap.key, nonce, result);
        }
        return result;
    }

    async function settleConflict<Desc extends DescMessage>(
        desc: Desc,
        key: string,
        nonce: string,
        result: Result<number, StoreError>,
    ): Promise<Result<number, StoreError>> {
        if (result.isOk() || result.error.kind !== "conflict") {
            return result;
        }
        const seen = await transport.get(key);
        const own = seen.isOk() && seen.value !== undefined && nonceOf(desc, seen.value.bytes) === nonce;
        return own ? ok(seen.value!.revision) : result;
    }

    return { transport, read, write };
}

function isUnclear(result: Result<number, StoreError>): boolean {
    return result.isErr() && result.error.kind === "unclear";
}

function nonceOf(desc: DescMessage, bytes: Uint8Array): string | undefined {
    return openEnvelope(desc, bytes).map(opened => opened.nonce).unwrapOr(undefined);
}
