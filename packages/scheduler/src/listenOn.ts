import type { Server } from "node:net";

/**
 * Makes a server listen, and waits until it does.
 *
 * @param server - The server.
 * @param address - The address as `IP:port`.
 * @throws The server's error if it cannot listen on the address.
 */
export async function listenOn(server: Server, address: string): Promise<void> {
    const [host, port] = address.split(":");
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve());
    });
}
