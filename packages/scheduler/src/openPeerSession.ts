import { Code, ConnectError } from "@connectrpc/connect";
import { once } from "node:events";
import type { ClientHttp2Session, ClientHttp2Stream } from "node:http2";
import { connect, constants } from "node:http2";
import { startDeadline } from "./startDeadline.js";

/** An HTTP/2 session to a peer, which ends once the peer no longer answers on it. */
export type PeerSession = {
    readonly session: ClientHttp2Session;
    /** Resolves when the session is connected; rejects when connecting fails, takes too long or is given up. */
    readonly connected: Promise<unknown>;
    /** Returns whether the peer has answered recently or answers a ping; otherwise the session is destroyed. */
    readonly isAlive: () => Promise<boolean>;
    /** Ends the session when the peer no longer answers while the stream is open. */
    readonly guard: (stream: ClientHttp2Stream) => void;
    /** Ends the session; the calls in progress fail as canceled. */
    readonly destroy: () => void;
};

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;

/** Time since the last answer after which a session is pinged before its next use, in milliseconds. */
const PING_INTERVAL_MS = 500;

/** Timeout of a ping, in milliseconds; shorter than that of a call, which can still be made on another session then. */
const PING_TIMEOUT_MS = 350;

/**
 * Opens a session to a peer. A connection can go silent without a reset, which only a missing answer shows.
 *
 * The session keeps a listener for errors until it is gone: it may emit an error some time after it has been ended by
 * the peer or destroyed, and an 'error' event without a listener ends the process. The calls on the session fail with
 * the same error, so the listener itself has nothing to do.
 *
 * @param authority - The peer's URL as `http://IP:port`.
 * @returns The session, which is connecting.
 *
 * @example
 * const { session, connected } = openPeerSession("http://127.0.0.1:7400");
 * await connected;
 */
export function openPeerSession(authority: string): PeerSession {
    const connecting = new AbortController();
    const session = connect(authority);
    session.on("error", () => {});
    // An idle connection does not keep the process running.
    session.unref();
    const destroy = (): void => {
        const error = new ConnectError("The connection to the peer is reset. Call it again.", Code.Canceled);
        connecting.abort(error);
        session.destroy(error, constants.NGHTTP2_CANCEL);
    };
    const connected = once(session, "connect", { signal: connecting.signal });
    connected.catch(() => {}).finally(startDeadline(CONNECT_TIMEOUT_MS, destroy));
    let answeredAt = performance.now();
    let pendingPing: Promise<boolean> | undefined;
    const isAlive = async (): Promise<boolean> => {
        // A session that the peer has closed answers no pings, but still its calls in progress.
        if (session.closed || performance.now() - answeredAt < PING_INTERVAL_MS) {
            return true;
        }
        pendingPing ??= ping(session).finally(() => pendingPing = undefined);
        const isAnswered = await pendingPing;
        if (isAnswered) {
            answeredAt = performance.now();
        }
        else {
            destroy();
        }
        return isAnswered;
    };
    return {
        session,
        connected,
        isAlive,
        guard: stream => {
            const timer = setInterval(() => void isAlive(), PING_INTERVAL_MS).unref();
            stream.once("response", () => answeredAt = performance.now());
            stream.once("close", () => clearInterval(timer));
        },
        destroy,
    };
}

/** Returns whether a ping is answered in time; a destroyed session answers none. */
function ping(session: ClientHttp2Session): Promise<boolean> {
    return new Promise(resolve => {
        const endDeadline = startDeadline(PING_TIMEOUT_MS, () => resolve(false));
        const settle = (error: Error | null): void => {
            endDeadline();
            resolve(error === null);
        };
        if (session.destroyed || !session.ping(settle)) {
            endDeadline();
            resolve(false);
        }
    });
}
