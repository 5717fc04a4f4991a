import type { CellId, Heartbeat, Member, NodeId, Ownership } from "@balsamward/schema";
import { PEER_SUSPICION_MS } from "../constants.js";

/** The registration of a cell's owner; its revision is the fencing epoch. */
export type RegisteredOwner = { readonly node: NodeId; readonly revision: number };

/** What a daemon knows of the others. */
export type Membership = {
    /** Members registered in the store. */
    readonly members: Map<NodeId, Member>;
    readonly owners: Map<CellId, RegisteredOwner>;
    /** Time of the last change of members, in milliseconds of the monotonic clock. */
    membersChangedAt: number;
    readonly recordHeartbeat: (heartbeat: Heartbeat) => void;
    /** Returns the last heartbeat of a peer that is not suspected. */
    readonly freshHeartbeatOf: (node: NodeId) => Heartbeat | undefined;
    readonly freshHeartbeats: () => readonly Heartbeat[];
    /** Returns the registered members that take cells. */
    readonly assignableNodes: () => readonly NodeId[];
};

/**
 * Creates an empty membership.
 *
 * @param clock - Returns a monotonic time in milliseconds.
 * @returns The membership.
 *
 * @example
 * const membership = createMembership(() => performance.now());
 */
export function createMembership(clock: () => number): Membership {
    const members = new Map<NodeId, Member>();
    const lastHeartbeats = new Map<NodeId, { readonly heartbeat: Heartbeat; readonly receivedAt: number }>();
    const isFresh = (at: number) => clock() - at < PEER_SUSPICION_MS;
    return {
        members,
        owners: new Map(),
        membersChangedAt: clock(),
        recordHeartbeat: heartbeat => {
            lastHeartbeats.set(heartbeat.node as NodeId, { heartbeat, receivedAt: clock() });
        },
        freshHeartbeatOf: node => {
            const entry = lastHeartbeats.get(node);
            return entry !== undefined && isFresh(entry.receivedAt) ? entry.heartbeat : undefined;
        },
        freshHeartbeats: () =>
            [...lastHeartbeats.values()].filter(entry => isFresh(entry.receivedAt)).map(entry =>
                entry.heartbeat
            ),
        assignableNodes: () =>
            [...members.keys()].filter(node => lastHeartbeats.get(node)?.heartbeat.leaving !== true),
    };
}

/**
 * Returns the owner that a registration names.
 *
 * @param ownership - The registration.
 * @param revision - Its revision in the store.
 * @returns The owner with its fencing epoch.
 *
 * @example
 * toRegisteredOwner(ownership, revision).node;
 */
export function toRegisteredOwner(ownership: Ownership, revision: number): RegisteredOwner {
    return { node: ownership.node as NodeId, revision };
}
