import { createSocket } from "node:dgram";
import { once } from "node:events";

/** A UDP socket. */
export type DatagramSocket = {
    /** Sends a datagram to an address, as `IP:port`; it may be lost, and is if the socket is closed. */
    readonly send: (bytes: Uint8Array, address: string) => void;
    readonly close: () => void;
};

/**
 * Opens a UDP socket. Errors after it is open lose datagrams, and nothing else.
 *
 * @param address - Address to receive on, as `IP:port`.
 * @param onDatagram - Called with each received datagram and its sender's address, as `IP:port`.
 * @returns The socket.
 * @throws The socket's error if it cannot be bound to the address.
 */
export async function openDatagramSocket(
    address: string,
    onDatagram: (bytes: Uint8Array, sender: string) => void,
): Promise<DatagramSocket> {
    const socket = createSocket("udp4");
    let isClosed = false;
    const [host, port] = address.split(":");
    socket.bind(Number(port), host);
    await once(socket, "listening");
    socket.on("error", () => {});
    socket.on("message", (bytes, sender) => onDatagram(bytes, `${sender.address}:${sender.port}`));
    // An idle socket does not keep the process running.
    socket.unref();
    return {
        send: (bytes, target) => {
            const [targetHost, targetPort] = target.split(":");
            if (!isClosed) {
                socket.send(bytes, Number(targetPort), targetHost, () => {});
            }
        },
        close: () => {
            isClosed = true;
            socket.close();
        },
    };
}
