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
    changedAt: number;
    readonly recordHeartbeat: (heartbeat: Heartbeat) => void;
    /** Returns the last heartbeat of a peer that is not suspected. */
    readonly heartbeatOf: (node: NodeId) => Heartbeat | undefined;
    readonly heartbeats: () => readonly Heartbeat[];
    /** Returns the registered members that take cells. */
    readonly assignable: () => readonly NodeId[];
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
    const heard = new Map<NodeId, { readonly heartbeat: Heartbeat; readonly at: number }>();
    const isFresh = (at: number) => clock() - at < PEER_SUSPICION_MS;
    return {
        members,
        owners: new Map(),
        changedAt: clock(),
        recordHeartbeat: heartbeat => {
            heard.set(heartbeat.node as NodeId, { heartbeat, at: clock() });
        },
        heartbeatOf: node => {
            const entry = heard.get(node);
            return entry !== undefined && isFresh(entry.at) ? entry.heartbeat : undefined;
        },
        heartbeats: () =>
            [...heard.values()].filter(entry => isFresh(entry.at)).map(entry => entry.heartbeat),
        assignable: () => [...members.keys()].filter(node => heard.get(node)?.heartbeat.leaving !== true),
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
 * registeredOwner(ownership, revision).node;
 */
export function registeredOwner(ownership: Ownership, revision: number): RegisteredOwner {
    return { node: ownership.node as NodeId, revision };
}
