import type { DatagramSocket } from "../openDatagramSocket.js";
import { openDatagramSocket } from "../openDatagramSocket.js";
import type { Pause } from "../pause.js";
import { pause as pauseWithTimer } from "../pause.js";
import type { Cluster } from "./Cluster.js";
import { createDatagramExchange } from "./createDatagramExchange.js";

/** The socket on which a daemon exchanges heartbeats, which may not be open yet. */
export type HeartbeatSocket = {
    /** Closes the socket, and gives up the attempts to open it. */
    readonly close: () => void;
};

/** Options of `openHeartbeatSocket`. */
export type OpenHeartbeatSocketOptions = {
    /** Waits between two attempts; by default with a timer of the process. */
    readonly pause?: Pause;
};

/** Pause before a port that cannot be bound is tried again, in milliseconds. */
const PORT_RETRY_INTERVAL_MS = 1_000;

/** Number of further attempts to bind a port, which a predecessor may still use. */
const MAX_PORT_RETRIES = 60;

/**
 * Opens the socket on which this daemon exchanges heartbeats by datagrams, and sets `exchangeDatagrams` of the cluster.
 * While the port cannot be bound, heartbeats are exchanged by RPC, and the port is tried again for a minute.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param port - UDP port, the same on all daemons.
 * @param options - How to wait between two attempts.
 * @returns The socket, after the first attempt to open it.
 */
export async function openHeartbeatSocket(
    cluster: Cluster,
    port: number,
    { pause = pauseWithTimer }: OpenHeartbeatSocketOptions = {},
): Promise<HeartbeatSocket> {
    const { log } = cluster;
    const withPort = (address: string): string => `${address.split(":")[0]}:${port}`;
    const closing = new AbortController();
    let socket: DatagramSocket | undefined;
    const { exchange, receive } = createDatagramExchange(
        cluster,
        (bytes, address) => socket?.send(bytes, address),
    );
    const open = async (): Promise<void> => {
        const opened = await openDatagramSocket(withPort(cluster.address), receive);
        if (closing.signal.aborted) {
            opened.close();
            return;
        }
        socket = opened;
        cluster.exchangeDatagrams = peerAddress => exchange(withPort(peerAddress));
    };
    const retry = async (): Promise<void> => {
        for (let attempt = 0; attempt < MAX_PORT_RETRIES; attempt++) {
            await pause(PORT_RETRY_INTERVAL_MS, closing.signal);
            if (closing.signal.aborted) {
                return;
            }
            const isOpen = await open().then(() => true, () => false);
            if (isOpen) {
                log.info("The port for heartbeats is bound now.", { port, retries: attempt + 1 });
                return;
            }
        }
        log.warn("The port for heartbeats is given up.", { port, retries: MAX_PORT_RETRIES });
    };
    try {
        await open();
    }
    catch (error) {
        log.warn("The port for heartbeats cannot be bound; they are exchanged by RPC.", {
            port,
            error: String(error),
        });
        void retry();
    }
    return {
        close: () => {
            closing.abort();
            socket?.close();
            socket = undefined;
        },
    };
}
