import { HEARTBEAT_INTERVAL_MS } from "../constants.js";
import { MAX_ACTIVE_PEERS } from "./listActivePeers.js";

/** Mean time between two heartbeats that the owner receives from all its peers together, in milliseconds. */
const OWNER_HEARTBEAT_SPACING_MS = 150;

/** Intervals for each active peer, besides the owner, in a cluster in which not every peer is active. */
const INTERVALS_PER_PEER = 2;

/** Pause before a refused connection to the owner, whose process may be dead, is tried again, in milliseconds. */
const REFUSAL_RETRY_MS = 100;

/** What the interval to a peer depends on. */
export type HeartbeatTarget = {
    readonly isOwner: boolean;
    /** Whether the peer refused the last connection. */
    readonly hasRefused: boolean;
    /** Number of peers that this daemon knows. */
    readonly peerCount: number;
};

/**
 * Returns the time until the next heartbeat to a peer. Neither the owner nor any other daemon exchanges more heartbeats
 * per second in a larger cluster.
 *
 * @param target - The peer, and the number of all peers.
 * @returns The time in milliseconds, before jitter.
 */
export function computeHeartbeatIntervalMs({ isOwner, hasRefused, peerCount }: HeartbeatTarget): number {
    if (!isOwner) {
        const intervals = peerCount <= MAX_ACTIVE_PEERS ? peerCount : MAX_ACTIVE_PEERS * INTERVALS_PER_PEER;
        return HEARTBEAT_INTERVAL_MS * Math.max(1, intervals);
    }
    return hasRefused
        ? REFUSAL_RETRY_MS
        : Math.max(HEARTBEAT_INTERVAL_MS, peerCount * OWNER_HEARTBEAT_SPACING_MS);
}
