import { createHash } from "node:crypto";

/**
 * Returns the SHA-256 digest of a text.
 *
 * @param text - The text or bytes; text is taken as UTF-8.
 * @returns The digest in lower-case hexadecimal.
 *
 * @example
 * sha256Hex("").length; // 64
 */
export function sha256Hex(text: string | Uint8Array): string {
    return createHash("sha256").update(text).digest("hex");
}
