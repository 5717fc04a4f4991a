import type { StoredValue } from "../StoreModel.js";
import { encodeBytes } from "./encodeBytes.js";

/** A stored value as the store's responses show it. */
export type EncodedValue = {
    readonly key: string;
    readonly revision: number;
    readonly lease: string | undefined;
    /** The bytes of the value in Base64. */
    readonly value: string;
};

/**
 * Encodes a stored value for a response.
 *
 * @param entry - The stored value.
 * @returns The value as JSON can hold it.
 */
export function encodeValue(entry: StoredValue): EncodedValue {
    return { key: entry.key, revision: entry.revision, lease: entry.lease, value: encodeBytes(entry.value) };
}
