import type { Member, NodeId } from "@balsamward/schema";
import type { DaemonState } from "../DaemonState.js";
import type { PeerClients } from "./maintainPeerConnection.js";
import { maintainPeerConnection } from "./maintainPeerConnection.js";

/** The connections to all peers, each maintained by a background task. */
export type PeerConnections = {
    /** Opens connections to new members and closes those to members that are gone or have a new address. */
    readonly reconcile: () => void;
};

/**
 * Creates an empty set of peer connections; `reconcile` opens them.
 *
 * @param state - The daemon's state.
 * @param clients - Holds the clients of the open connections.
 * @param signal - Ends all connections.
 * @returns The connections.
 *
 * @example
 * createPeerConnections(state, clients, signal).reconcile();
 */
export function createPeerConnections(
    state: DaemonState,
    clients: PeerClients,
    signal: AbortSignal,
): PeerConnections {
    const connections = new Map<
        NodeId,
        { readonly address: string; readonly abortController: AbortController }
    >();

    function startConnection(member: Member): void {
        const node = member.node as NodeId;
        const abortController = new AbortController();
        connections.set(node, { address: member.peerAddress, abortController });
        const eitherSignal = AbortSignal.any([signal, abortController.signal]);
        state.backgroundTasks.start(() => maintainPeerConnection(state, clients, member, eitherSignal));
    }

    return {
        reconcile: () => {
            const { members } = state.membership;
            for (const [node, connection] of connections) {
                if (members.get(node)?.peerAddress !== connection.address) {
                    connections.delete(node);
                    connection.abortController.abort();
                }
            }
            for (const [node, member] of members) {
                if (node !== state.node && !connections.has(node)) {
                    startConnection(member);
                }
            }
        },
    };
}
