import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { LOOPBACK_ADDRESS } from "../constants.js";

/** A server that accepts connections. */
export type ListeningServer = {
    /** Base address as `http://IP:port`. */
    readonly url: string;
    /** Closes the server with its open connections. */
    readonly close: () => Promise<void>;
};

/**
 * Makes a server listen on the loopback address.
 *
 * @param server - The server.
 * @param port - The port, or 0 for any free port.
 * @returns The base address and a function that closes the server with its connections.
 * @throws If the port cannot be bound.
 */
export async function listen(server: Server, port: number): Promise<ListeningServer> {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, LOOPBACK_ADDRESS, () => resolve());
    });
    const { port: boundPort } = server.address() as AddressInfo;
    return {
        url: `http://${LOOPBACK_ADDRESS}:${boundPort}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}
