/**
 * Encodes bytes for a response.
 *
 * @param bytes - The bytes.
 * @returns The bytes in Base64.
 */
export function encodeBytes(bytes: Uint8Array): string {
    return Buffer.from(bytes).toString("base64");
}
