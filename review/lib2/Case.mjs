// What all scripts share: the record, requests of clients, waits, and the set-up of a small deployment.
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Daemon, findFreePort, isFree } from "./Daemon.mjs";
import { Store } from "./Store.mjs";

/** Time for which a script may run, in milliseconds. */
const MAX_MS = 110_000;

export const HOST = "review.example";
export const KEY = "key-of-tenant-1";
export const SERVICE = "reservas";
const START_TIMEOUT_MS = 25_000;

/** Port of the metrics in the settings template, the only fixed one. */
const METRICS_PORT = 7_015;

/** Exit codes of a script. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Writes what was sent, answered and run, with the time since the start. */
export class Record {
    lines = [];
    /** Starts of tasks that workers have begun: task, run, worker, spec, and the time in milliseconds. */
    starts = [];
    /** Ends of runs: task, run, worker, how, and the time in milliseconds. */
    ends = [];
    startedAt = performance.now();

    constructor(path) {
        this.path = path;
    }

    now() {
        return performance.now() - this.startedAt;
    }

    note(text, details = {}) {
        this.lines.push(
            `${(this.now() / 1_000).toFixed(3).padStart(8)} s  ${text} ${JSON.stringify(details)}`,
        );
    }

    noteStart(start) {
        this.starts.push({ ...start, at: this.now() });
        this.note("task starts", start);
    }

    noteEnd(end) {
        this.ends.push({ ...end, at: this.now() });
        this.note("run ends", end);
    }

    save() {
        writeFileSync(this.path, `${this.lines.join("\n")}\n`);
    }
}

export function pause(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until a condition holds; throws after a time. */
export async function waitUntil(what, condition, timeoutMs = START_TIMEOUT_MS) {
    const endsAt = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > endsAt) {
            throw new Error(`It took too long until ${what}.`);
        }
        await pause(50);
    }
}

/** Sends a request of a client on a connection of its own; returns the status, 0 without a complete answer. */
export function call(record, address, method, path, { body, deadlineMs = 3_000, isNoted = true } = {}) {
    const [host, port] = address.split(":");
    const text = body === undefined ? "" : JSON.stringify(body);
    return new Promise(resolve => {
        const settle = (status, answer) => {
            clearTimeout(timer);
            if (isNoted) {
                record.note("client is answered", { method, path, to: address, status, answer });
            }
            resolve({ status, body: answer, at: record.now() });
        };
        if (isNoted) {
            record.note("client sends", { method, path, to: address, bytes: text.length });
        }
        const sent = request({
            host,
            port,
            method,
            path,
            agent: false,
            headers: {
                host: HOST,
                authorization: `Token ${KEY}`,
                "deadline-ms": String(deadlineMs),
                ...(text === ""
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
            },
        }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("end", () => settle(res.statusCode, parse(Buffer.concat(chunks).toString("utf8"))));
            res.on("error", () => settle(0, undefined));
        });
        const timer = setTimeout(() => sent.destroy(), deadlineMs + 1_000);
        sent.on("error", error => settle(0, String(error)));
        sent.end(text);
    });
}

function parse(text) {
    try {
        return JSON.parse(text);
    }
    catch {
        return text;
    }
}

/** The configuration of the operator: one tenant, one service, one route `/jobs/`. */
export function encodeConfiguration({ admissionCheck = true } = {}) {
    return JSON.stringify({
        version: 7,
        routes: [{
            name: "jobs",
            host: HOST,
            prefix: "/jobs/",
            kind: "non_idempotent",
            timeoutMs: 3_000,
            sloMs: 1_000,
            priority: 1,
            service: SERVICE,
            attempts: 2,
            stretch: 3,
            public: false,
        }],
        services: [{ name: SERVICE, admissionCheck }],
        tenants: [{ name: "tenant-1", apiKeys: [KEY], guaranteed: { gpus: 0 } }],
        limits: { maxBodyBytes: 262_144 },
    });
}

/** Creates the daemons of a deployment on loopback addresses of their own. */
export async function createDaemons(count, options) {
    const { network, record } = options;
    const ips = Array.from({ length: count }, (_, index) => `127.${network}.1.${index + 1}`);
    const ports = {
        front: await findFreePort(ips[0]),
        ready: await findFreePort(ips[0]),
        control: await findFreePort(ips[0]),
        range: await findFreePort(ips[0]),
    };
    const seeds = ips.slice(0, 3).map(ip => `${ip}:${ports.control}`);
    return ips.map((ip, index) =>
        new Daemon({ ...options, record, node: `edge-${index + 1}`, ip, ports, zone: "recife-a", seeds })
    );
}

export async function isReady(daemon) {
    const { status } = await call({ now: () => 0 }, daemon.ready, "GET", "/v1/readiness", { isNoted: false });
    return status === 200;
}

/** Finds a second byte of loopback addresses under which nothing uses the port of the daemons' metrics. */
async function findNetwork() {
    while (true) {
        const network = 64 + Math.floor(Math.random() * 120);
        if (await isFree(`127.${network}.1.1`, METRICS_PORT)) {
            return network;
        }
    }
}

/**
 * Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run.
 *
 * @param recordPath - Path of the record.
 * @param play - Plays the case with `{ record, store, directory, network, hasTrouble, atEnd }`; returns the breaks as
 * texts.
 */
export async function runCase(recordPath, play) {
    const record = new Record(recordPath);
    const directory = mkdtempSync(join(tmpdir(), "balsamward-review-"));
    const store = new Store();
    const closers = [];
    const network = await findNetwork();
    let status = NOT_RUN;
    const guard = setTimeout(() => void finish(), MAX_MS);
    const finish = async () => {
        clearTimeout(guard);
        await Promise.allSettled(closers.map(close => close()));
        record.note("result", { exit: status });
        record.save();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(directory, { recursive: true, force: true });
        }
        process.exit(status);
    };
    try {
        await store.start(`127.${network}.0.1`);
        closers.push(() => store.close());
        const breaks = await play({
            record,
            store,
            directory,
            network,
            hasTrouble: process.env.TROUBLE !== "0",
            atEnd: close => closers.unshift(close),
        });
        breaks.forEach(text => record.note(`BROKEN: ${text}`));
        status = breaks.length === 0 ? HELD : BROKEN;
    }
    catch (error) {
        record.note("the case could not run", { error: String(error.stack) });
    }
    await finish();
}
