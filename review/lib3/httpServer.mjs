import { createServer } from "node:http";

const LISTEN_PORT = 8_524;

/**
 * Starts an HTTP server whose handler returns `{ status, body }`, or `undefined` to leave a request unanswered.
 *
 * @param {string} host - The loopback address to listen on.
 * @param {(call: object) => unknown} handle - Handles one call.
 * @param {number} [port] - The port.
 * @returns The address, and a function that closes the server.
 */
export async function startJsonServer(host, handle, port = LISTEN_PORT) {
    const server = createServer(async (req, res) => {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString("utf8");
        const call = {
            method: req.method,
            url: new URL(req.url, "http://stand-in"),
            headers: req.headers,
            body: text === "" ? {} : JSON.parse(text),
        };
        const answer = await handle(call);
        if (answer === undefined) {
            return;
        }
        const answerText = answer.body === undefined ? "" : JSON.stringify(answer.body);
        res.writeHead(answer.status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(answerText),
        });
        res.end(answerText);
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return {
        address: `${host}:${port}`,
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

/** Waits for a number of milliseconds. */
export function wait(ms) {
    return new Promise(resolve => {
        setTimeout(resolve, ms);
    });
}
