import { request } from "node:http";
import { wait } from "./httpServer.mjs";

const DEADLINE_MS = 3_000;
const RETRY_PAUSE_MS = 300;

/** Sends one request to a daemon; the answer's status is 0 if there is none in time. */
export function call(address, { method, path, host, key, body }) {
    return new Promise(resolve => {
        const text = body === undefined ? undefined : JSON.stringify(body);
        const headers = {
            host,
            "deadline-ms": String(DEADLINE_MS),
            ...(key === undefined ? {} : { authorization: `Token ${key}` }),
            ...(text === undefined
                ? {}
                : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
        };
        const req = request(`http://${address}${path}`, { method, headers }, async res => {
            const chunks = [];
            try {
                for await (const chunk of res) {
                    chunks.push(chunk);
                }
                resolve({ status: res.statusCode, body: parse(Buffer.concat(chunks).toString("utf8")) });
            }
            catch {
                resolve({ status: 0, body: {} });
            }
        });
        req.setTimeout(DEADLINE_MS, () => req.destroy());
        req.on("error", () => resolve({ status: 0, body: {} }));
        req.end(text);
    });
}

function parse(text) {
    try {
        return JSON.parse(text);
    }
    catch {
        return {};
    }
}

/** A caller with a key, who repeats a call at another daemon while it is not answered or refused for now. */
export class Client {
    constructor({ daemons, host, key, record }) {
        Object.assign(this, { daemons, host, key, record });
        this.next = 0;
    }

    async send(method, path, body) {
        const address = this.daemons[this.next++ % this.daemons.length].front;
        const { host, key } = this;
        const answer = await call(address, { method, path, host, key, body });
        const text = JSON.stringify(answer.body);
        this.record(`client ${method} ${path} at ${address}: ${answer.status} ${text}`);
        return answer;
    }

    /** Sends a call until it gets one of the statuses, for some seconds at most. */
    async sendUntil(statuses, method, path, body) {
        const endsAt = performance.now() + 15_000;
        while (performance.now() < endsAt) {
            const answer = await this.send(method, path, body);
            if (statuses.includes(answer.status)) {
                return answer;
            }
            await wait(RETRY_PAUSE_MS);
        }
        return undefined;
    }

    /** Submits a job; the spec tells the stand-ins of workers what its tasks do. Returns the time of the acceptance. */
    async submit(queue, id, steps, behaviours) {
        const body = { spec: JSON.stringify({ steps: behaviours }), steps };
        const answer = await this.sendUntil([200], "POST", `/${queue}/${id}`, body);
        if (answer === undefined) {
            throw new Error(`The job ${id} is not accepted.`);
        }
        return performance.now();
    }

    async getState(queue, id) {
        const answer = await this.send("GET", `/${queue}/${id}`);
        return answer.status === 200 ? answer.body.state : `status ${answer.status}`;
    }
}
