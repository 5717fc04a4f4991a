import type { Server } from "node:net";

/**
 * Starts listening.
 *
 * @param server - The server.
 * @param address - The address as `IP:port`.
 */
export async function listenOn(server: Server, address: string): Promise<void> {
    const [host, port] = address.split(":");
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve());
    });
}
