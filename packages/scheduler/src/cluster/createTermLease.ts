import { PEER_SILENCE_LIMIT_MS } from "../constants.js";
import type { Cluster } from "./Cluster.js";
import { couldMissNewOwner } from "./couldMissNewOwner.js";

/** What a daemon knows of the store lease of its own term. */
export type TermLease = {
    /** Records that the store has answered a renewal that was sent at a monotonic time, in milliseconds. */
    readonly confirm: (sentAt: number) => void;
    /** Returns the latest monotonic time at which no other daemon could be the owner, in milliseconds. */
    readonly heldAt: () => number;
    /** Returns how long ago the lease may have ended, in milliseconds; not above 0 while it lasts. */
    readonly overdueMs: () => number;
};

/**
 * Creates the view of the store lease of a term.
 *
 * A renewal that the store answers shows that the lease was held when it was sent, however long the answer takes and
 * whether or not the daemon was suspended meanwhile. Once the lease is overdue, it counts as held up to the last
 * contact with the peers, as long as these show that no other daemon could have become the owner.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param ttlMs - Time to live of the lease, in milliseconds.
 * @param requestedAt - Monotonic time at which the lease was requested, in milliseconds.
 * @returns The view.
 */
export function createTermLease(cluster: Cluster, ttlMs: number, requestedAt: number): TermLease {
    let confirmedAt = requestedAt;
    const overdueMs = (): number => cluster.clock() - confirmedAt - ttlMs;
    return {
        confirm: sentAt => {
            confirmedAt = sentAt;
        },
        heldAt: () =>
            overdueMs() > 0 && !couldMissNewOwner(cluster)
                ? cluster.clock() - PEER_SILENCE_LIMIT_MS
                : confirmedAt,
        overdueMs,
    };
}
