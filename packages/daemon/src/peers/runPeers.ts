import type { Member, NodeId } from "@balsamward/schema";
import type { DaemonState } from "../DaemonState.js";
import type { PeerClients } from "./runPeer.js";
import { runPeer } from "./runPeer.js";

/** Keeps one task for each peer. */
export type Peers = {
    /** Starts tasks for new members and ends those of members that are gone. */
    readonly reconcile: () => void;
};

/**
 * Creates the keeper of the peers' tasks.
 *
 * @param state - The daemon.
 * @param clients - Receives the connections.
 * @param signal - Ends all tasks.
 * @returns The keeper.
 *
 * @example
 * createPeers(state, clients, signal).reconcile();
 */
export function createPeers(state: DaemonState, clients: PeerClients, signal: AbortSignal): Peers {
    const running = new Map<NodeId, { readonly address: string; readonly end: AbortController }>();

    function begin(member: Member): void {
        const node = member.node as NodeId;
        const end = new AbortController();
        running.set(node, { address: member.peerAddress, end });
        const both = AbortSignal.any([signal, end.signal]);
        state.tasks.start(() => runPeer(state, clients, member, both));
    }

    return {
        reconcile: () => {
            const { members } = state.membership;
            for (const [node, task] of running) {
                if (members.get(node)?.peerAddress !== task.address) {
                    running.delete(node);
                    task.end.abort();
                }
            }
            for (const [node, member] of members) {
                if (node !== state.node && !running.has(node)) {
                    begin(member);
                }
            }
        },
    };
}
