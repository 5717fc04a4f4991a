import { configureTextEncoding } from "@bufbuild/protobuf/wire";

/** Encodes and decodes the text of messages. */
export type TextEncoding = Parameters<typeof configureTextEncoding>[0];

const HIGHEST_OF_ONE_BYTE = 0x80;
const SURROGATE_LEAD_BYTE = 0xe0;
const BITS_OF_NEXT_BYTE = 0x3f;

/** A half of a surrogate pair that stands alone; UTF-8 has no form for it, but a JSON text may contain it. */
const LONE_SURROGATE = /(\p{Surrogate})/u;

/** The three bytes that stand for a lone surrogate, each as one character; they occur in no valid UTF-8. */
const ENCODED_SURROGATE = /(\xed[\xa0-\xbf][\x80-\xbf])/;

const encoder = new TextEncoder();
const strictDecoder = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });
const lenientDecoder = new TextDecoder("utf-8", { ignoreBOM: true });

/**
 * The encoding of all text in messages, with which each string is decoded as it was encoded.
 *
 * Text is encoded as UTF-8. A byte order mark at its start is kept, as it is part of the text. A lone surrogate is
 * encoded as the three bytes that UTF-8 would have for it. Bytes that are neither are decoded as U+FFFD.
 *
 * This module sets it for the whole process, so that messages to and from other processes have it as well.
 */
export const losslessTextEncoding: TextEncoding = {
    encodeUtf8: text => text.isWellFormed() ? encoder.encode(text) : encodeIllFormed(text),
    decodeUtf8: bytes => {
        try {
            return strictDecoder.decode(bytes);
        }
        catch {
            return decodeIllFormed(bytes);
        }
    },
    checkUtf8: text => text.isWellFormed(),
};

configureTextEncoding(losslessTextEncoding);

function encodeIllFormed(text: string): Uint8Array<ArrayBuffer> {
    const parts = text.split(LONE_SURROGATE).map((part, index) =>
        isSeparator(index) ? encodeSurrogate(part.charCodeAt(0)) : encoder.encode(part)
    );
    return new Uint8Array(Buffer.concat(parts));
}

function encodeSurrogate(code: number): Uint8Array {
    const high = code >> 12;
    const middle = code >> 6 & BITS_OF_NEXT_BYTE;
    const low = code & BITS_OF_NEXT_BYTE;
    return Uint8Array.of(
        SURROGATE_LEAD_BYTE | high,
        HIGHEST_OF_ONE_BYTE | middle,
        HIGHEST_OF_ONE_BYTE | low,
    );
}

function decodeIllFormed(bytes: Uint8Array): string {
    const parts = Buffer.from(bytes).toString("latin1").split(ENCODED_SURROGATE);
    return parts.map((part, index) => {
        const partBytes = Buffer.from(part, "latin1");
        return isSeparator(index) ? decodeSurrogate(partBytes) : lenientDecoder.decode(partBytes);
    }).join("");
}

function decodeSurrogate([first = 0, second = 0, third = 0]: Uint8Array): string {
    return String.fromCharCode(
        (first & ~SURROGATE_LEAD_BYTE) << 12 | (second & BITS_OF_NEXT_BYTE) << 6 | third & BITS_OF_NEXT_BYTE,
    );
}

/** Returns whether a part of a split text is one of its separators, which stand at the odd places. */
function isSeparator(index: number): boolean {
    return index % 2 === 1;
}
