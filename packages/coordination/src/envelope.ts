import { EnvelopeSchema } from "@balsamward/schema";
import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { createHash } from "node:crypto";
import { SCHEMA_VERSION } from "./constants.js";
import type { StoreError } from "./StoreError.js";

/** The contents of an envelope: a message, and the nonce that identifies its write. */
export type DecodedEnvelope<Desc extends DescMessage> = {
    readonly nonce: string;
    readonly message: MessageShape<Desc>;
};

/**
 * Encodes a message with its nonce, schema version and checksum for the store.
 *
 * @param desc - The message type.
 * @param message - The message.
 * @param nonce - A text that is unique to this write.
 * @returns The bytes to store.
 *
 * @example
 * encodeEnvelope(ClaimSchema, claim, randomUUID());
 */
export function encodeEnvelope<Desc extends DescMessage>(
    desc: Desc,
    message: MessageShape<Desc>,
    nonce: string,
): Uint8Array {
    const payload = toBinary(desc, message);
    return toBinary(
        EnvelopeSchema,
        create(EnvelopeSchema, {
            nonce,
            schemaVersion: SCHEMA_VERSION,
            checksum: computeChecksum(payload),
            payload,
        }),
    );
}

/**
 * Decodes a stored envelope and verifies its schema version and checksum.
 *
 * @param desc - The message type.
 * @param bytes - The stored bytes.
 * @returns The message and its nonce, or `unreadable` if the value is corrupted or has a newer schema version.
 *
 * @example
 * decodeEnvelope(ClaimSchema, raw.bytes).map(decoded => decoded.message);
 */
export function decodeEnvelope<Desc extends DescMessage>(
    desc: Desc,
    bytes: Uint8Array,
): Result<DecodedEnvelope<Desc>, StoreError> {
    try {
        const envelope = fromBinary(EnvelopeSchema, bytes);
        if (envelope.schemaVersion > SCHEMA_VERSION) {
            return err(
                createUnreadableError(
                    "has a newer schema version than this daemon supports. Upgrade this daemon.",
                ),
            );
        }
        if (Buffer.compare(computeChecksum(envelope.payload), envelope.checksum) !== 0) {
            return err(
                createUnreadableError("does not match its checksum. Restore it from the platform's backup."),
            );
        }
        return ok({ nonce: envelope.nonce, message: fromBinary(desc, envelope.payload) });
    }
    catch {
        return err(createUnreadableError("cannot be decoded. Restore it from the platform's backup."));
    }
}

function computeChecksum(payload: Uint8Array): Uint8Array {
    return createHash("sha256").update(payload).digest();
}

function createUnreadableError(problem: string): StoreError {
    return { kind: "unreadable", message: `A stored value ${problem}` };
}
