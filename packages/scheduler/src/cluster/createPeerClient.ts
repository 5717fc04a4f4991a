import { ClusterService } from "@balsamward/schema/scheduling";
import type { Client } from "@connectrpc/connect";
import { ConnectError, createClient } from "@connectrpc/connect";
import type { PeerTransport } from "../createPeerTransport.js";
import { createPeerTransport } from "../createPeerTransport.js";

/** Client for the calls to one peer. */
export type PeerClient = {
    readonly calls: Client<typeof ClusterService>;
    /** Closes the connection; the next call opens a new one. */
    readonly reset: () => void;
};

/**
 * Creates a client for a peer. It is set up and connects on the first call: a daemon of a large cluster calls few of
 * the peers that it knows.
 *
 * @param address - The peer's address as `IP:port`.
 * @returns The client.
 */
export function createPeerClient(address: string): PeerClient {
    let transport: PeerTransport | undefined;
    let calls: PeerClient["calls"] | undefined;
    return {
        get calls() {
            transport ??= createPeerTransport(address);
            calls ??= createClient(ClusterService, transport.transport);
            return calls;
        },
        reset: () => transport?.reset(),
    };
}

/**
 * Returns whether an error means that the connection was refused, so that no process listens at the address.
 *
 * @param error - Error that a call threw; its causes are checked too.
 * @returns True if the connection was refused.
 */
export function isConnectionRefused(error: unknown): boolean {
    return hasCause(error, "ECONNREFUSED");
}

/**
 * Returns whether an error means that the peer has not processed the call, which can be made elsewhere then: no process
 * listens at the address, or the peer has refused the call's stream because it is stopping.
 *
 * @param error - Error that a call threw; its causes are checked too.
 * @returns True if the call certainly had no effect.
 */
export function isUnprocessed(error: unknown): boolean {
    return isConnectionRefused(error) || hasCause(error, "REFUSED_STREAM");
}

/** Returns whether a cause is an error of this process. The text of an RPC's error may come from the peer. */
function hasCause(error: unknown, code: string): boolean {
    for (let cause = error; cause instanceof Error; cause = cause.cause) {
        const isOwn = !(cause instanceof ConnectError);
        if (isOwn && ((cause as { code?: unknown }).code === code || cause.message.includes(code))) {
            return true;
        }
    }
    return false;
}
