import type { StoreRow } from "@balsamward/schema/scheduling";
import type { StoreItem } from "../ports/FleetStore.js";

/**
 * Converts a row of a relayed call's response to an item of the store.
 *
 * @param row - The row.
 * @returns The item; its value is empty if the row has none.
 */
export function toStoreItem(row: StoreRow): StoreItem {
    return { key: row.key, revision: row.revision, value: row.value ?? new Uint8Array() };
}
