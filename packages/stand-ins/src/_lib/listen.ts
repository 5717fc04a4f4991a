import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { LOOPBACK_ADDRESS } from "../constants.js";

/** A listening stand-in. */
export type ListeningServer = {
    /** Base address as `http://IP:port`. */
    readonly url: string;
    readonly close: () => Promise<void>;
};

/**
 * Starts a server on the loopback address.
 *
 * @param server - The server.
 * @param port - The port, or 0 for any free one.
 * @returns The address and a function that closes the server with its connections.
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
