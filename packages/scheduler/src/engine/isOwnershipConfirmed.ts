import { OWNER_LEASE_TTL_MS } from "../constants.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Returns whether no other daemon can be the owner now.
 *
 * An owner that was suspended may have a successor. Its own clock may have stood still meanwhile; so the last proof of
 * the ownership must be younger than the suspension.
 *
 * @param scheduler - The scheduler.
 * @returns True if the last proof of the ownership still holds; false until the store lease is confirmed again.
 */
export function isOwnershipConfirmed(
    { clock, ownership, getSuspendedAt }: Pick<Scheduler, "clock" | "ownership" | "getSuspendedAt">,
): boolean {
    const heldAt = ownership.heldAt();
    return clock() - heldAt <= OWNER_LEASE_TTL_MS && heldAt > getSuspendedAt();
}
