import { once } from "node:events";
import type { Server } from "node:net";

/** Options of `listenOn`. */
export type ListenOptions = {
    /** Keeps the server from listening, if it aborts first. */
    readonly signal?: AbortSignal;
};

/**
 * Makes a server listen, and waits until it does.
 *
 * @param server - The server.
 * @param address - The address as `IP:port`.
 * @param options - A signal that gives it up.
 * @throws The server's error if it cannot listen on the address, or the reason of the signal if that aborts first.
 */
export async function listenOn(
    server: Server,
    address: string,
    { signal }: ListenOptions = {},
): Promise<void> {
    signal?.throwIfAborted();
    const [host, port] = address.split(":");
    server.listen(Number(port), host);
    await once(server, "listening");
}
