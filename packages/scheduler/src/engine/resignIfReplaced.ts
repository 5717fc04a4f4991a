import type { StoreItem } from "../ports/FleetStore.js";
import type { Ownership } from "./Scheduler.js";

/**
 * Ends a term if the items of a conflict show another owner.
 *
 * @param ownership - The term.
 * @param items - Current values of the keys that the refused transaction expected, the owner's record among them.
 * @returns Whether there is another owner.
 */
export function resignIfReplaced(ownership: Ownership, items: readonly StoreItem[]): boolean {
    const isReplaced = items.find(({ key }) => key === ownership.key)?.revision !== ownership.revision;
    if (isReplaced) {
        ownership.resign("The store shows another owner.");
    }
    return isReplaced;
}
