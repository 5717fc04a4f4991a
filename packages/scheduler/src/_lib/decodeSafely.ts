/**
 * Decodes one of several items that other clients can write, so that an unexpected error affects this item only.
 *
 * @param decode - Decodes the item.
 * @returns What it returns, or `undefined` if it throws.
 *
 * @example
 * decodeSafely(() => JSON.parse("{")); // undefined
 */
export function decodeSafely<T>(decode: () => T): T | undefined {
    try {
        return decode();
    }
    catch {
        return undefined;
    }
}
