// Starts and ends the project's entry daemon, with the command and the settings template of its deploy file.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";

/** Returns a free port of a loopback address. */
export async function findFreePort(host) {
    const server = createServer();
    server.listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

/** Returns whether nothing listens on a port of a loopback address. */
export async function isFree(host, port) {
    const server = createServer();
    try {
        server.listen(port, host);
        await once(server, "listening");
        return true;
    }
    catch {
        return false;
    }
    finally {
        server.close();
    }
}

/** Renders the settings template as the platform does. */
function renderSettings(fields) {
    const template = readFileSync("deploy/settings.ini.template", "utf8");
    return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_match, path, json) => {
        const value = path.split(".").reduce((table, name) => table?.[name], fields);
        if (json !== undefined) {
            return JSON.stringify(value);
        }
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

/** Returns the variables that the platform passes on. */
function pickVariables(names) {
    return Object.fromEntries(names.flatMap(name => name in process.env ? [[name, process.env[name]]] : []));
}

/** One machine of the system, with the settings of the small deployment `pinos-ne`. */
export class Daemon {
    isRunning = false;

    constructor({ node, ip, ports, zone, seeds, store, machines, directory, record, bounds = {} }) {
        this.node = node;
        this.record = record;
        this.front = `${ip}:${ports.front}`;
        this.ready = `${ip}:${ports.ready}`;
        this.path = join(directory, `${node}.ini`);
        this.logPath = join(directory, `${node}.log`);
        this.fields = {
            node,
            ip,
            zone,
            bootstrap: true,
            portRange: [ports.range, ports.range + 15],
            seeds,
            advice: "",
            listen: { front: this.front, ready: this.ready, control: `${ip}:${ports.control}` },
            limits: { cpuShare: 0.675, cores: 1 },
            platform: { address: store },
            cloudApi: { address: machines },
            bounds: { maxHoldMs: 10_000, graceS: 6, status_s: 120, ...bounds },
        };
    }

    start() {
        writeFileSync(this.path, renderSettings(this.fields));
        const run = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))[1].split(" ");
        const log = createWriteStream(this.logPath, { flags: "a" });
        this.child = spawn(run[0], run.slice(1), {
            env: { ...pickVariables(["PATH", "HOME", "LANG"]), BALSAMWARD_NODE_FILE: this.path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child.stdout.pipe(log, { end: false });
        this.child.stderr.pipe(log, { end: false });
        this.isRunning = true;
        this.exited = once(this.child, "exit").then(([code, signal]) => {
            this.isRunning = false;
            this.record.note("daemon has ended", { node: this.node, code, signal });
        });
        this.record.note("daemon is started", { node: this.node, pid: this.child.pid });
    }

    signal(name) {
        this.record.note("signal to daemon", { node: this.node, signal: name });
        this.child.kill(name);
    }

    /** Ends the process whatever it does. */
    async end() {
        if (this.isRunning) {
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await this.exited;
        }
    }
}
