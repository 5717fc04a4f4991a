import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { call, Client } from "./client.mjs";
import { Daemon } from "./daemon.mjs";
import { startJsonServer, wait } from "./httpServer.mjs";
import { Store } from "./store.mjs";

const ROOT = fileURLToPath(new URL("../..", import.meta.url)).replace(/\/$/, "");
const WORKER_PROGRAM = fileURLToPath(new URL("worker.mjs", import.meta.url));
const HOST = "jobs.example";
const SERVICE = "batch";
const START_TIMEOUT_MS = 20_000;
/** Bounds as in `sites/kdw-sched.toml`. */
export const BOUNDS = {
    stableMs: 3_000,
    graceS: 6,
    status_s: 120,
    maxHoldMs: 6_000,
    stopTimeoutMs: 900,
    noticeMs: 4_500,
    reclaimMs: 3_400,
    maintenanceS: 2,
};

/** A small deployment on loopback addresses: the project's daemons as processes, and stand-ins around them. */
export class Deployment {
    daemons = [];
    workers = new Map();
    servers = [];
    pids = [];
    startedAt = performance.now();
    isClosed = false;
    /** Called with each line that a worker writes: `{ worker, event, at, task, run, ... }`. */
    onWorkerEvent = () => {};

    constructor(folder) {
        this.recordPath = join(folder, "record.txt");
        writeFileSync(this.recordPath, "");
        this.folder = mkdtempSync(join(tmpdir(), "balsamward-review-"));
        const pick = () => 1 + Math.floor(Math.random() * 250);
        this.network = `127.${pick()}.${pick()}`;
        this.store = new Store();
        this.record = this.record.bind(this);
        process.once("exit", () => this.kill());
    }

    /** Returns the time since the start in seconds. */
    now() {
        return (performance.now() - this.startedAt) / 1_000;
    }

    record(text) {
        appendFileSync(this.recordPath, `${this.now().toFixed(3).padStart(8)} ${text}\n`);
    }

    /** Starts the stand-ins of the platform; `handlers` are those of the machines and of the advice service. */
    async startPlatform({ configuration, handleMachines, handleAdvice }) {
        await this.store.start(`${this.network}.1`);
        const noMachines = () => ({ status: 200, body: { machines: [], nextToken: null } });
        const noAdvice = () => ({ status: 200, body: { allowed: [], validityMs: 0 } });
        this.machines = await startJsonServer(`${this.network}.2`, handleMachines ?? noMachines);
        this.advice = await startJsonServer(`${this.network}.3`, handleAdvice ?? noAdvice);
        this.servers.push(this.machines, this.advice);
        this.store.put("op/config", configuration);
    }

    /** Starts a worker as a process, or starts it again under its id; `labels` are its kind and its rack. */
    startWorker(name, { number, labels = ["a", "r1"], gpus = 8, machine = `m-${name}` }) {
        const options = {
            id: name,
            machine,
            host: `${this.network}.${100 + number}`,
            port: 8_080,
            service: SERVICE,
            zone: "zone-a",
            labels,
            capacity: { cpu: 128_000, memMb: 524_288, gpus },
            storeAddress: this.store.address,
            maxHoldMs: BOUNDS.maxHoldMs,
            stopMs: 300,
        };
        const child = spawn(process.execPath, [WORKER_PROGRAM, JSON.stringify(options)], {
            stdio: ["pipe", "pipe", "inherit"],
        });
        child.stdin.on("error", () => {});
        this.pids.push(child.pid);
        let rest = "";
        child.stdout.on("data", chunk => {
            const lines = `${rest}${chunk}`.split("\n");
            rest = lines.pop();
            lines.forEach(line => this.receiveWorkerLine(line));
        });
        this.workers.set(name, child);
    }

    receiveWorkerLine(line) {
        const event = { ...JSON.parse(line), at: performance.now() };
        const { worker, event: kind, task, run, how, percent } = event;
        const details = [
            task,
            run === undefined ? undefined : `run ${run}`,
            how,
            percent === undefined ? undefined : `${percent} %`,
        ];
        this.record(`worker ${worker} ${kind} ${details.filter(detail => detail !== undefined).join(" ")}`);
        this.onWorkerEvent(event);
    }

    /** Kills a worker: everything that runs on it ends, and it remembers nothing. */
    async crashWorker(name) {
        const child = this.workers.get(name);
        const ended = new Promise(resolve => {
            child.once("exit", resolve);
        });
        child.kill("SIGKILL");
        await ended;
        this.record(`worker ${name} crashed (SIGKILL)`);
        this.onWorkerEvent({ worker: name, event: "crash", at: performance.now() });
    }

    /** Starts the daemons and waits until all of them are ready. */
    async startDaemons(count) {
        const ipOf = number => `${this.network}.${10 + number}`;
        for (let number = 0; number < count; number++) {
            const ip = ipOf(number);
            const name = `entry-${number}`;
            this.daemons.push(
                new Daemon({
                    root: ROOT,
                    name,
                    settingsPath: join(this.folder, `${name}.ini`),
                    logPath: join(this.folder, `${name}.log`),
                    record: this.record,
                    onStart: pid => this.pids.push(pid),
                    fields: {
                        node: name,
                        ip,
                        zone: "zone-a",
                        bootstrap: true,
                        limits: { cpuShare: 0.675, cores: 1 },
                        listen: { front: `${ip}:8521`, ready: `${ip}:8523`, control: `${ip}:8526` },
                        portRange: [7_000, 7_015],
                        platform: { address: this.store.address },
                        advice: this.advice.address,
                        cloudApi: { address: this.machines.address },
                        seeds: [0, 1, 2].filter(seed => seed < count).map(seed => `${ipOf(seed)}:8526`),
                        bounds: BOUNDS,
                    },
                }),
            );
        }
        this.daemons.forEach(daemon => daemon.start());
        await Promise.all(this.daemons.map(daemon => this.waitUntilReady(daemon)));
        this.record("all daemons are ready");
    }

    async waitUntilReady({ ready, name }) {
        const endsAt = performance.now() + START_TIMEOUT_MS;
        while (performance.now() < endsAt) {
            const { status } = await call(ready, { method: "GET", path: "/v1/readiness", host: "platform" });
            if (status === 200) {
                return;
            }
            await wait(100);
        }
        throw new Error(`The daemon ${name} does not become ready.`);
    }

    createClient(key) {
        return new Client({ daemons: this.daemons, host: HOST, key, record: this.record });
    }

    kill() {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.daemons.forEach(daemon => daemon.close());
        this.workers.forEach(child => child.kill("SIGKILL"));
        if (process.env["KEEP_LOGS"] === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }
}

/** Composes a configuration: queues by name with their priority, and customers with their guarantees. */
export function composeConfiguration({ queues, tenants, service = {} }) {
    return {
        version: 1,
        routes: Object.entries(queues).map(([name, fields]) => ({
            name,
            host: HOST,
            prefix: `/${name}/`,
            kind: "non_idempotent",
            timeoutMs: 3_000,
            sloMs: 3_000,
            priority: 1,
            service: SERVICE,
            attempts: 3,
            stretch: 3,
            public: false,
            ...fields,
        })),
        services: [{
            name: SERVICE,
            healthPath: "/health",
            admissionCheck: true,
            standby: false,
            ...service,
        }],
        tenants: Object.entries(tenants).map(([name, gpus]) => ({
            name,
            apiKeys: [`key-${name}`],
            priority: 1,
            guaranteed: { gpus },
        })),
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 262_144,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 15_000,
        },
    };
}

/** Runs a case and ends the process: status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play) {
    const deployment = new Deployment(folder);
    const isTroubled = process.env["TROUBLE"] !== "0";
    const timer = setTimeout(() => finish(2, "The case takes too long."), 115_000);
    const finish = (status, text) => {
        clearTimeout(timer);
        deployment.record(`result ${status}: ${text}`);
        process.stdout.write(`${text}\n`);
        deployment.kill();
        process.exit(status);
    };
    ["SIGINT", "SIGTERM"].forEach(signal =>
        process.once(signal, () => finish(2, `Interrupted by ${signal}.`))
    );
    try {
        const broken = await play(deployment, isTroubled);
        finish(broken === undefined ? 0 : 1, broken ?? "The rule held.");
    }
    catch (error) {
        finish(2, `The case could not run: ${error.stack}`);
    }
}
