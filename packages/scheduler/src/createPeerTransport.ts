import type { Transport } from "@connectrpc/connect";
import type { ConnectTransportOptions } from "@connectrpc/connect-node";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { PeerSession } from "./openPeerSession.js";
import { openPeerSession } from "./openPeerSession.js";

/** Transport of the RPC calls to one peer. */
export type PeerTransport = {
    readonly transport: Transport;
    /** Closes the connection, which fails the calls in progress as canceled; the next call opens a new one. */
    readonly reset: () => void;
};

/** Issues the calls of a transport as requests on HTTP/2 sessions. */
type SessionManager = NonNullable<Extract<ConnectTransportOptions, { httpVersion: "2" }>["sessionManager"]>;

/**
 * Creates the transport of the calls to a peer. It connects on the first call, and again once the peer has ended or
 * lost the connection or no longer answers on it. The calls in progress on a connection that the peer ends with GOAWAY
 * are still answered.
 *
 * @param address - The peer's address as `IP:port`.
 * @returns The transport.
 *
 * @example
 * const { transport, reset } = createPeerTransport("127.0.0.1:7400");
 * const client = createClient(PeerService, transport);
 */
export function createPeerTransport(address: string): PeerTransport {
    const baseUrl = `http://${address}`;
    const sessions = new Set<PeerSession>();
    let newest: PeerSession | undefined;
    const connectSession = async (): Promise<PeerSession> => {
        if (newest === undefined || !acceptsRequests(newest)) {
            const opened = openPeerSession(baseUrl);
            sessions.add(opened);
            opened.session.once("close", () => sessions.delete(opened));
            newest = opened;
        }
        const peerSession = newest;
        await peerSession.connected;
        return peerSession;
    };
    const getLiveSession = async (): Promise<PeerSession> => {
        const peerSession = await connectSession();
        // The peer may end the session while it is pinged: it answers the ping, but takes no further requests.
        return await peerSession.isAlive() && acceptsRequests(peerSession) ? peerSession : connectSession();
    };
    const sessionManager: SessionManager = {
        authority: baseUrl,
        request: async (method, path, headers, options) => {
            const peerSession = await getLiveSession();
            const stream = peerSession.session.request(
                { ...headers, ":method": method, ":path": path },
                options,
            );
            peerSession.guard(stream);
            return stream;
        },
        notifyResponseByteRead: () => {},
    };
    return {
        transport: createConnectTransport({ baseUrl, httpVersion: "2", sessionManager }),
        reset: () => sessions.forEach(({ destroy }) => destroy()),
    };
}

function acceptsRequests({ session }: PeerSession): boolean {
    return !session.closed && !session.destroyed;
}
