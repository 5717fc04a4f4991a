// Small HTTP helpers for the stand-ins and the client.
import { once } from "node:events";
import { Agent, createServer, request } from "node:http";

/** Reads a request or response to its end and returns the text. */
export async function readText(stream) {
    const chunks = [];
    for await (const chunk of stream) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}

/** Parses JSON; returns an empty object for an empty text. */
export function parseJson(text) {
    return text === "" ? {} : JSON.parse(text);
}

/**
 * Starts a server on a loopback address. `handle` gets the method, the URL, the headers and the body, and returns
 * `{ status, body }`, or `undefined` to leave the request unanswered.
 */
export async function startServer(host, port, handle) {
    const server = createServer((req, res) => {
        void respond(req, res, handle).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 120_000;
    server.listen(port, host);
    await once(server, "listening");
    return {
        port: server.address().port,
        close: () => {
            server.closeAllConnections();
            return new Promise(resolve => server.close(resolve));
        },
    };
}

async function respond(req, res, handle) {
    const body = parseJson(await readText(req));
    const url = new URL(req.url, "http://stand-in");
    const answer = await handle({ method: req.method, url, headers: req.headers, body });
    if (answer === undefined || res.destroyed) {
        return;
    }
    const text = JSON.stringify(answer.body ?? {});
    res.writeHead(answer.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    res.end(text);
}

const agent = new Agent({ keepAlive: true });

/** Sends a request; returns `{ status, body }`, or `{ status: 0, cause }` if no answer arrives in time. */
export function send({ host, port, method, path, headers = {}, body, timeoutMs = 3_000 }) {
    return new Promise(resolve => {
        const text = body === undefined ? "" : JSON.stringify(body);
        const options = {
            host,
            port,
            method,
            path,
            agent,
            headers: {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
                ...headers,
            },
        };
        const req = request(options, async res => {
            const answer = await readText(res).catch(() => "");
            clearTimeout(timer);
            resolve({ status: res.statusCode, body: tryParse(answer) });
        });
        const timer = setTimeout(() => req.destroy(new Error("timeout")), timeoutMs);
        req.on("error", error => {
            clearTimeout(timer);
            resolve({ status: 0, cause: error.code ?? error.message });
        });
        req.end(text);
    });
}

function tryParse(text) {
    try {
        return parseJson(text);
    }
    catch {
        return undefined;
    }
}

/** Waits for a number of milliseconds. */
export function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}
