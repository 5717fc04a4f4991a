// A small deployment on loopback addresses: a store, workers, the machines' control and the project's daemons.
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { pause, send, startServer } from "./http.mjs";
import { startStore } from "./store.mjs";
import { createWorker } from "./worker.mjs";

/** Longest time that a case takes, in milliseconds; the limit is 120 s. */
const MAX_CASE_MS = 112_000;

const root = resolve(import.meta.dirname, "../..");

/** The bounds of the site `pinos-ne`. */
export const BOUNDS = {
    graceS: 6,
    maxHoldMs: 10_000,
    stopTimeoutMs: 900,
    status_s: 120,
    visible_ms: 3_000,
    cancel_ms: 3_000,
};

const CUSTOMER = { name: "desk", apiKeys: ["desk-key"], guaranteed: { gpus: 0 } };

/** The configuration of one queue and one service. */
export const CONFIGURATION = {
    version: 1,
    routes: [{
        name: "walkin",
        host: "desk.example",
        prefix: "/walkin/",
        service: "reservas",
        priority: 1,
        attempts: 2,
        stretch: 3,
        sloMs: 1_000,
    }],
    services: [{ name: "reservas", admissionCheck: true }],
    tenants: [CUSTOMER],
    limits: { maxBodyBytes: 262_144 },
};

/** Renders the settings template of the deploy file, without sections, from the platform's fields. */
function renderSettings(fields) {
    const template = readFileSync(join(root, "deploy/settings.ini.template"), "utf8");
    return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_match, path, isJson) => {
        const value = path.split(".").reduce((object, key) => object?.[key], fields);
        return isJson ? JSON.stringify(value) : Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

/** Reads the command of a role from the deploy file. */
function readRunCommand() {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Creates the recorder, which writes one line for each event to `record.txt` of a case. */
function createRecorder(folder) {
    const stream = createWriteStream(join(folder, "record.txt"));
    const startedAt = performance.now();
    const record = (event, details = {}) => {
        const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
        stream.write(`${seconds} ${event} ${JSON.stringify(details)}\n`);
    };
    return { record, closeRecord: () => new Promise(done => stream.end(done)) };
}

/** Picks a block of loopback addresses at random, so that runs beside each other do not meet. */
function pickHosts() {
    const block = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
    return number => `${block}.${number}`;
}

/** Starts the stand-ins of a deployment; daemons and workers are added with the returned functions. */
export async function startDeployment(folder) {
    const { record, closeRecord } = createRecorder(folder);
    const clock = () => performance.now();
    const host = pickHosts();
    const store = await startStore(host(1), clock);
    const machines = await startServer(host(2), 0, call => deployment.handleMachineCall(call));
    const advice = await startServer(host(3), 0, () => ({ status: 200, body: { allowed: [] } }));
    const temporary = mkdtempSync(join(tmpdir(), "balsamward-review-"));
    const deployment = {
        record,
        clock,
        store,
        host,
        temporary,
        daemons: [],
        workers: [],
        fields: {
            zone: "recife-a",
            bootstrap: true,
            limits: { cpuShare: 0.675, cores: 1 },
            portRange: [7_000, 7_015],
            platform: { address: store.address },
            cloudApi: { address: `${host(2)}:${machines.port}` },
            advice: `${host(3)}:${advice.port}`,
            bounds: BOUNDS,
        },
        handleMachineCall: () => ({ status: 200, body: { machines: [], nextToken: "" } }),
        close: async () => {
            deployment.daemons.forEach(stopDaemon);
            await Promise.all(deployment.workers.filter(({ isUp }) => isUp).map(worker => worker.crash()));
            await Promise.all([store.close(), machines.close(), advice.close()]);
            rmSync(temporary, { recursive: true, force: true });
            await closeRecord();
        },
    };
    store.put("op/config", CONFIGURATION);
    return deployment;
}

/** Starts a daemon with the command of the deploy file and settings rendered from its template. */
export function startDaemon(deployment, number, { store } = {}) {
    const ip = deployment.host(10 + number);
    const node = `edge-${number}`;
    const settingsPath = join(deployment.temporary, `${node}.ini`);
    const fields = {
        ...deployment.fields,
        node,
        ip,
        listen: { front: `${ip}:8521`, ready: `${ip}:8523`, control: `${ip}:8526` },
        seeds: [1, 2, 3].map(seed => `${deployment.host(10 + seed)}:8526`),
        ...(store === undefined ? {} : { platform: { address: store } }),
    };
    writeFileSync(settingsPath, renderSettings(fields));
    const [program, ...options] = readRunCommand();
    const child = spawn(program, options, {
        cwd: root,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, BALSAMWARD_NODE_FILE: settingsPath },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const daemon = { node, ip, child, number, logs: [], exited: undefined };
    child.stdout.on("data", chunk => daemon.logs.push(chunk));
    child.stderr.on("data", chunk => daemon.logs.push(chunk));
    child.on("exit", (code, signal) => {
        daemon.exited = { code, signal };
        deployment.record("daemon-exits", { node, code, signal });
    });
    deployment.daemons.push(daemon);
    deployment.record("daemon-starts", { node, pid: child.pid });
    return daemon;
}

function stopDaemon({ child, exited }) {
    if (exited === undefined) {
        child.kill("SIGKILL");
    }
}

/** Adds a worker on a machine and starts it. */
export async function addWorker(deployment, number, options = {}) {
    const worker = createWorker({
        id: `i-${number}`,
        machine: `m-${number}`,
        host: deployment.host(100 + number),
        service: "reservas",
        zone: "recife-a",
        rack: "r1-1",
        capacity: { cpu: 32_000, memMb: 131_072, gpus: 8 },
        bounds: BOUNDS,
        store: deployment.store,
        clock: deployment.clock,
        record: deployment.record,
        workMs: () => 1_000,
        hasRoom: ({ running, capacity }) => running.size < capacity.gpus,
        ...options,
    });
    deployment.workers.push(worker);
    await worker.start();
    return worker;
}

/** Sends a client's call to a daemon, with the key of its tenant by default, and records what was sent and answered. */
export async function callDaemon(deployment, daemon, method, id, body, options = {}) {
    const { key = CUSTOMER.apiKeys[0], timeoutMs = 3_000 } = options;
    const { record } = deployment;
    record("client-sends", { node: daemon.node, method, id, key, ...(body === undefined ? {} : { body }) });
    const answer = await send({
        host: daemon.ip,
        port: 8_521,
        method,
        path: `/walkin/${id}`,
        headers: {
            "host": "desk.example",
            "deadline-ms": String(timeoutMs),
            ...(key === "" ? {} : { authorization: `Token ${key}` }),
        },
        body,
        timeoutMs,
    });
    record("client-gets", { node: daemon.node, method, id, ...answer });
    return answer;
}

/** Waits until daemons answer that they are ready; throws after 20 s. */
export async function waitUntilReady(daemons) {
    for (const { ip } of daemons) {
        await waitFor(async () => {
            const answer = await send({
                host: ip,
                port: 8_523,
                method: "GET",
                path: "/v1/readiness",
                timeoutMs: 500,
            });
            return answer.status === 200;
        }, 20_000);
    }
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitFor(condition, timeoutMs, intervalMs = 50) {
    const endsAt = performance.now() + timeoutMs;
    while (performance.now() < endsAt) {
        if (await condition()) {
            return true;
        }
        await pause(intervalMs);
    }
    return false;
}

/** Hands a job in and sends it again under the same id until it is accepted, as a client does. */
export async function submit(deployment, daemons, id, job) {
    for (let attempt = 0; attempt < 10; attempt++) {
        const { status } = await callDaemon(deployment, daemons[attempt % daemons.length], "POST", id, job);
        if (status === 200) {
            return true;
        }
        await pause(300);
    }
    return false;
}

/** Writes what a daemon has logged to the record. */
export function recordLogs(deployment, pattern) {
    for (const { node, logs } of deployment.daemons) {
        for (const line of Buffer.concat(logs).toString().split("\n")) {
            if (pattern.test(line)) {
                deployment.record("daemon-logs", { node, line });
            }
        }
    }
}

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `play` returns what
 * broke the rule, or `undefined`.
 */
export async function runCase(folder, play) {
    const deployment = await startDeployment(folder);
    let status = 2;
    const stopEarly = () => {
        deployment.daemons.forEach(stopDaemon);
        rmSync(deployment.temporary, { recursive: true, force: true });
        process.exit(2);
    };
    setTimeout(stopEarly, MAX_CASE_MS).unref();
    process.on("SIGTERM", stopEarly);
    process.on("SIGINT", stopEarly);
    try {
        const broken = await play(deployment, process.env.TROUBLE !== "0");
        status = broken === undefined ? 0 : 1;
        deployment.record(broken === undefined ? "rule-held" : "rule-broken", { broken });
        process.stdout.write(`${broken ?? "The rule held."}\n`);
    }
    catch (error) {
        deployment.record("case-cannot-run", { error: String(error.stack) });
        process.stderr.write(`The case cannot run: ${error.stack}\n`);
    }
    await deployment.close();
    process.exit(status);
}
