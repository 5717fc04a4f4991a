// An HTTP server whose requests and responses carry JSON, as the platform's pages describe them.
import { once } from "node:events";
import { createServer } from "node:http";

/**
 * Starts a server on a loopback address and a free port.
 *
 * @param {string} host - Loopback address.
 * @param {(call: object) => object | undefined | Promise<object | undefined>} handle - Returns `{ status, body }`, or
 * `undefined` to leave the request without an answer.
 * @param {number} port - Port; 0 for any free one.
 * @returns The address, and a function that closes the server with its connections.
 */
export async function startJsonServer(host, handle, port = 0) {
    const server = createServer((req, res) => respond(req, res, handle).catch(() => res.destroy()));
    server.keepAliveTimeout = 120_000;
    server.listen(port, host);
    await once(server, "listening");
    return {
        address: `${host}:${server.address().port}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

async function respond(req, res, handle) {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    const answer = await handle({
        method: req.method,
        url: new URL(req.url, "http://stand-in"),
        headers: req.headers,
        body: text === "" ? {} : JSON.parse(text),
        socket: req.socket,
    });
    if (answer === undefined || res.destroyed) {
        return;
    }
    const body = JSON.stringify(answer.body ?? {});
    res.writeHead(answer.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    });
    res.end(body);
}

/** Callers that wait for a change or for a timeout. */
export class Waiters {
    callbacks = new Set();

    wait(timeoutMs) {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.callbacks.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, timeoutMs);
            this.callbacks.add(finish);
        });
    }

    wake() {
        [...this.callbacks].forEach(finish => finish());
    }
}
