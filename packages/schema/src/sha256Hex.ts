import { createHash } from "node:crypto";

/**
 * Returns the SHA-256 digest of a text or of bytes.
 *
 * @param text - The text, which is encoded as UTF-8, or the bytes.
 * @returns The digest in lowercase hexadecimal.
 *
 * @example
 * sha256Hex("").length; // 64
 */
export function sha256Hex(text: string | Uint8Array): string {
    return createHash("sha256").update(text).digest("hex");
}
