import type { AddressInfo } from "node:net";
import { createServer } from "node:net";

/** Finds an address on loopback on which no server listens, as `IP:port`. */
export async function findFreeAddress(): Promise<string> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return `127.0.0.1:${port}`;
}
