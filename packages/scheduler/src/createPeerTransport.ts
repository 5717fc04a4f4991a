import type { Transport } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import type { ConnectTransportOptions } from "@connectrpc/connect-node";
import { createConnectTransport } from "@connectrpc/connect-node";
import { once } from "node:events";
import type { ClientHttp2Session } from "node:http2";
import { connect, constants } from "node:http2";

/** Transport of the RPC calls to one peer. */
export type PeerTransport = {
    readonly transport: Transport;
    /** Closes the connection, which fails the calls in progress as canceled; the next call opens a new one. */
    readonly reset: () => void;
};

/** Issues the calls of a transport as requests on HTTP/2 sessions. */
type SessionManager = NonNullable<Extract<ConnectTransportOptions, { httpVersion: "2" }>["sessionManager"]>;

type PeerSession = {
    readonly session: ClientHttp2Session;
    /** Resolves when the session is connected; rejects when connecting fails or `abortController` aborts. */
    readonly connected: Promise<unknown>;
    readonly abortController: AbortController;
};

/**
 * Creates the transport of the calls to a peer. It connects on the first call, and again once the peer has ended or
 * lost the connection. The calls in progress on a connection that the peer ends with GOAWAY are still answered.
 *
 * Every session keeps a listener for errors until it is gone: a session may emit an error some time after it has been
 * ended by the peer or destroyed, and an 'error' event without a listener ends the process. The calls on the session
 * fail with the same error, so the listener itself has nothing to do.
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
    const getSession = (): PeerSession => {
        if (newest === undefined || newest.session.closed || newest.session.destroyed) {
            const opened = openSession(baseUrl);
            sessions.add(opened);
            opened.session.once("close", () => sessions.delete(opened));
            newest = opened;
        }
        return newest;
    };
    const sessionManager: SessionManager = {
        authority: baseUrl,
        request: async (method, path, headers, options) => {
            const { session, connected } = getSession();
            await connected;
            return session.request({ ...headers, ":method": method, ":path": path }, options);
        },
        notifyResponseByteRead: () => {},
    };
    return {
        transport: createConnectTransport({ baseUrl, httpVersion: "2", sessionManager }),
        reset: () => sessions.forEach(destroySession),
    };
}

function openSession(authority: string): PeerSession {
    const abortController = new AbortController();
    const session = connect(authority);
    session.on("error", () => {});
    // An idle connection does not keep the process running.
    session.unref();
    const connected = once(session, "connect", { signal: abortController.signal });
    connected.catch(() => {});
    return { session, connected, abortController };
}

function destroySession({ session, abortController }: PeerSession): void {
    const error = new ConnectError("The connection to the peer is reset. Call it again.", Code.Canceled);
    abortController.abort(error);
    session.destroy(error, constants.NGHTTP2_CANCEL);
}
