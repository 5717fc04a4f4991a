import type { DatagramSocket } from "../openDatagramSocket.js";
import { openDatagramSocket } from "../openDatagramSocket.js";
import type { Cluster } from "./Cluster.js";
import { createDatagramExchange } from "./createDatagramExchange.js";

/**
 * Opens the socket on which this daemon exchanges heartbeats by datagrams, and sets `exchangeDatagrams` of the cluster.
 * If the port cannot be bound, heartbeats are exchanged by RPC.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param port - UDP port, the same on all daemons.
 * @returns The socket, or `undefined` if the port cannot be bound.
 */
export async function openHeartbeatSocket(
    cluster: Cluster,
    port: number,
): Promise<DatagramSocket | undefined> {
    const withPort = (address: string): string => `${address.split(":")[0]}:${port}`;
    let socket: DatagramSocket | undefined;
    const { exchange, receive } = createDatagramExchange(
        cluster,
        (bytes, address) => socket?.send(bytes, address),
    );
    try {
        socket = await openDatagramSocket(withPort(cluster.address), receive);
        cluster.exchangeDatagrams = peerAddress => exchange(withPort(peerAddress));
    }
    catch (error) {
        cluster.log.warn("The port for heartbeats cannot be bound; they are exchanged by RPC.", {
            port,
            error: String(error),
        });
    }
    return socket;
}
