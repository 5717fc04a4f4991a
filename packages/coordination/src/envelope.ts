import { EnvelopeSchema } from "@balsamward/schema";
import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { createHash } from "node:crypto";
import { SCHEMA_VERSION } from "./constants.js";
import type { StoreError } from "./StoreError.js";

/** A message out of an envelope, with the nonce of its write. */
export type Opened<Desc extends DescMessage> = {
    readonly nonce: string;
    readonly message: MessageShape<Desc>;
};

/**
 * Wraps a message for the store.
 *
 * @param desc - The message type.
 * @param message - The message.
 * @param nonce - Text that identifies the write.
 * @returns The bytes to store.
 *
 * @example
 * sealEnvelope(ClaimSchema, claim, randomUUID());
 */
export function sealEnvelope<Desc extends DescMessage>(
    desc: Desc,
    message: MessageShape<Desc>,
    nonce: string,
): Uint8Array {
    const payload = toBinary(desc, message);
    return toBinary(
        EnvelopeSchema,
        create(EnvelopeSchema, { nonce, schemaVersion: SCHEMA_VERSION, checksum: digest(payload), payload }),
    );
}

/**
 * Unwraps a message from the store.
 *
 * @param desc - The message type.
 * @param bytes - The stored bytes.
 * @returns The message and its nonce, or `unreadable` if the value is damaged or newer than this program.
 *
 * @example
 * openEnvelope(ClaimSchema, raw.bytes).map(opened => opened.message);
 */
export function openEnvelope<Desc extends DescMessage>(
    desc: Desc,
    bytes: Uint8Array,
): Result<Opened<Desc>, StoreError> {
    try {
        const envelope = fromBinary(EnvelopeSchema, bytes);
        if (envelope.schemaVersion > SCHEMA_VERSION) {
            return err(unreadable("is written by a newer program. Upgrade this daemon."));
        }
        if (Buffer.compare(digest(envelope.payload), envelope.checksum) !== 0) {
            return err(unreadable("fails its checksum. Restore it from the platform's backup."));
        }
        return ok({ nonce: envelope.nonce, message: fromBinary(desc, envelope.payload) });
    }
    catch {
        return err(unreadable("cannot be decoded. Restore it from the platform's backup."));
    }
}

function digest(payload: Uint8Array): Uint8Array {
    return createHash("sha256").update(payload).digest();
}

function unreadable(what: string): StoreError {
    return { kind: "unreadable", message: `A value of the store ${what}` };
}
