import type { CellId, Heartbeat, Member, NodeId, Ownership } from "@balsamward/schema";
import { PEER_HEARTBEAT_TIMEOUT_MS } from "../constants.js";

/** The registered owner of a cell; the registration's revision in the store is the fencing epoch. */
export type RegisteredOwner = { readonly node: NodeId; readonly revision: number };

/** The registered daemons, the owners of cells and the latest heartbeats of peers, as this daemon knows them. */
export type Membership = {
    /** The daemons registered in the store, including this one. */
    readonly members: Map<NodeId, Member>;
    readonly owners: Map<CellId, RegisteredOwner>;
    /** Monotonic time in milliseconds at which `members` last changed. */
    membersChangedAt: number;
    readonly recordHeartbeat: (heartbeat: Heartbeat) => void;
    /** Returns the last heartbeat of a peer, or `undefined` if it is older than `PEER_HEARTBEAT_TIMEOUT_MS`. */
    readonly freshHeartbeatOf: (node: NodeId) => Heartbeat | undefined;
    readonly freshHeartbeats: () => readonly Heartbeat[];
    /** Returns the registered members that may own cells: those that have not announced that they are leaving. */
    readonly assignableNodes: () => readonly NodeId[];
};

/**
 * Creates an empty membership.
 *
 * @param clock - Returns the monotonic time in milliseconds.
 * @returns The membership.
 *
 * @example
 * const membership = createMembership(() => performance.now());
 */
export function createMembership(clock: () => number): Membership {
    const members = new Map<NodeId, Member>();
    const lastHeartbeats = new Map<NodeId, { readonly heartbeat: Heartbeat; readonly receivedAt: number }>();
    const isFresh = (at: number) => clock() - at < PEER_HEARTBEAT_TIMEOUT_MS;
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
 * Converts a stored registration of a cell's owner.
 *
 * @param ownership - The registration.
 * @param revision - The registration's revision in the store.
 * @returns The owner with its fencing epoch.
 *
 * @example
 * toRegisteredOwner(ownership, revision).node;
 */
export function toRegisteredOwner(ownership: Ownership, revision: number): RegisteredOwner {
    return { node: ownership.node as NodeId, revision };
}
