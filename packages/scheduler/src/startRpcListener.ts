import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { setMaxListeners } from "node:events";
import { createServer } from "node:http2";
import type { ServerHttp2Session } from "node:http2";
import type { Socket } from "node:net";
import type { ListenOptions } from "./listenOn.js";
import { listenOn } from "./listenOn.js";
import { startDeadline } from "./startDeadline.js";

/** Options of a close. */
export type CloseOptions = {
    /** Time after which what is still in progress is cut off, in milliseconds. */
    readonly timeoutMs?: number;
};

/** A listener for the RPCs of other daemons. */
export type RpcListener = {
    /** The open connections. */
    readonly sessions: ReadonlySet<ServerHttp2Session>;
    /** Accepts no further calls, aborts the signals of those in progress, and waits until they have ended. */
    readonly close: (options?: CloseOptions) => Promise<void>;
};

/** Time after which calls that are still in progress are cut off, in milliseconds; longer than peers wait for them. */
const CLOSE_TIMEOUT_MS = 2_000;

/**
 * Starts a listener for RPCs over HTTP/2.
 *
 * @param addRoutes - Adds the services to the router.
 * @param address - Address to listen on, as `IP:port`.
 * @param options - When to give up the address.
 * @returns The listener, which accepts connections.
 * @throws The server's error if it cannot listen on the address.
 *
 * @example
 * const listener = await startRpcListener(router => router.service(PeerService, handlers), "127.0.0.1:7400");
 */
export async function startRpcListener(
    addRoutes: (router: ConnectRouter) => void,
    address: string,
    options: ListenOptions = {},
): Promise<RpcListener> {
    const closing = new AbortController();
    // Each call in progress listens to the signal: more than the default limit.
    setMaxListeners(0, closing.signal);
    const sessions = new Set<ServerHttp2Session>();
    const sockets = new Set<Socket>();
    const server = createServer(connectNodeAdapter({ routes: addRoutes, shutdownSignal: closing.signal }));
    server.on("session", session => {
        sessions.add(session);
        session.once("close", () => sessions.delete(session));
    });
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await listenOn(server, address, options);
    return {
        sessions,
        close: ({ timeoutMs = CLOSE_TIMEOUT_MS } = {}) =>
            new Promise(resolve => {
                const endDeadline = startDeadline(timeoutMs, () => {
                    sessions.forEach(session => session.destroy());
                    // A closing session only ends its own side; a peer that is cut off never ends the other.
                    sockets.forEach(socket => socket.destroy());
                });
                server.close(() => {
                    endDeadline();
                    resolve();
                });
                closing.abort();
                sessions.forEach(session => session.close());
            }),
    };
}
