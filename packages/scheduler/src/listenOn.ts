import { once } from "node:events";
import type { Server } from "node:net";
import type { Logger } from "winston";
import type { Pause } from "./pause.js";

/** How to wait for an address that another process still uses, such as the predecessor of a daemon. */
export type AddressWait = {
    /** Time after which the address is given up, in milliseconds. */
    readonly timeoutMs: number;
    /** Log for the wait and its end. */
    readonly log: Logger;
    readonly pause: Pause;
    /** Returns the time of a monotonic clock in milliseconds. */
    readonly clock: () => number;
};

/** Options of `listenOn`. */
export type ListenOptions = {
    /** Keeps the server from listening, if it aborts first. */
    readonly signal?: AbortSignal;
    /** Without it, an address in use is an error at once. */
    readonly addressWait?: AddressWait;
};

/** Pause before an address in use is tried again, in milliseconds. */
const ADDRESS_RETRY_INTERVAL_MS = 100;

/**
 * Makes a server listen, and waits until it does.
 *
 * @param server - The server.
 * @param address - The address as `IP:port`.
 * @param options - A signal that gives it up, and how to wait for an address in use.
 * @throws The server's error if it cannot listen on the address, or the reason of the signal if that aborts first.
 */
export async function listenOn(
    server: Server,
    address: string,
    { signal, addressWait }: ListenOptions = {},
): Promise<void> {
    signal?.throwIfAborted();
    if (addressWait === undefined) {
        await tryToListen(server, address);
        return;
    }
    const { timeoutMs, log, pause, clock } = addressWait;
    const startedAt = clock();
    let isWaiting = false;
    while (!await tryToListen(server, address, { canBeInUse: clock() - startedAt < timeoutMs })) {
        if (!isWaiting) {
            log.warn("The address is in use. The daemon waits for it.", { address, timeoutMs });
        }
        isWaiting = true;
        await pause(ADDRESS_RETRY_INTERVAL_MS, signal);
        signal?.throwIfAborted();
    }
    if (isWaiting) {
        const waitedMs = Math.round(clock() - startedAt);
        log.info("The address is free. The daemon listens on it.", { address, waitedMs });
    }
}

/** Makes a server listen; returns false if the address is in use and that is expected. */
async function tryToListen(
    server: Server,
    address: string,
    { canBeInUse }: { readonly canBeInUse: boolean } = { canBeInUse: false },
): Promise<boolean> {
    const [host, port] = address.split(":");
    try {
        server.listen(Number(port), host);
        await once(server, "listening");
        return true;
    }
    catch (error) {
        if (!canBeInUse || (error as NodeJS.ErrnoException).code !== "EADDRINUSE") {
            throw error;
        }
        return false;
    }
}
