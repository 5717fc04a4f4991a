import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { createWriteStream, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PORTS, portsOf } from "./Ports.js";

export const OPERATOR_TOKEN = "operators-token";

/** A started part of the demo. */
export type Part = {
    readonly name: string;
    readonly process: ChildProcess;
    readonly ended: Promise<number | null>;
};

/** Starts and stops the parts of the demo as processes of their own. */
export type Parts = {
    readonly folder: string;
    readonly all: readonly Part[];
    readonly startDaemon: (index: number, dataCentre: string) => Part;
};

/**
 * Starts the stand-ins of the platform, and offers to start daemons.
 *
 * @returns The parts.
 */
export function startParts(): Parts {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-demo-"));
    const all: Part[] = [];
    const start = (name: string, args: readonly string[]): Part => {
        const log = createWriteStream(join(folder, `${name}.log`));
        const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"] });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        const ended = new Promise<number | null>(resolve => child.once("exit", code => resolve(code)));
        const part = { name, process: child, ended };
        all.push(part);
        return part;
    };
    const standIns = "packages/stand-ins/dist/main.js";
    start("store", [standIns, "store", "--port", String(PORTS.store)]);
    start("fleet", [
        standIns,
        "fleet",
        "--part",
        "recife:11:8:8",
        "fortaleza:11:8:8",
        "natal:11:8:8",
        "--vm-list-port",
        String(PORTS.vmList),
        "--control-port",
        String(PORTS.control),
    ]);
    const startDaemon = (index: number, dataCentre: string): Part => {
        const path = join(folder, `entry-${index}.ini`);
        writeFileSync(path, daemonSettings(index, dataCentre));
        return start(`entry-${index}`, ["packages/daemon/bin/balsamwardd.js", "--settings", path]);
    };
    return { folder, all, startDaemon };
}

/**
 * Writes the settings of the command for one daemon.
 *
 * @param folder - Where to write.
 * @param index - The daemon.
 * @param customer - The customer whose token to use.
 * @returns The path of the file.
 */
export function writeCommandSettings(folder: string, index: number, customer: string): string {
    const ports = portsOf(index);
    const path = join(folder, `command-${index}-${customer}.ini`);
    writeFileSync(
        path,
        `[daemon]
callers = http://127.0.0.1:${ports.callers}
operations = http://127.0.0.1:${ports.operations}

[tokens]
customer = ${customer}-token
operator = ${OPERATOR_TOKEN}
`,
    );
    return path;
}

function daemonSettings(index: number, dataCentre: string): string {
    const ports = portsOf(index);
    const digest = createHash("sha256").update(OPERATOR_TOKEN).digest("hex");
    return `[node]
id = entry-${index}
data_centre = ${dataCentre}
environment = production

[listeners]
callers = 127.0.0.1:${ports.callers}
peers = 127.0.0.1:${ports.peers}
operations = 127.0.0.1:${ports.operations}

[platform]
store = http://127.0.0.1:${PORTS.store}
vm_list = http://127.0.0.1:${PORTS.vmList}

[operators]
token_sha256 = ${digest}

[log]
level = info
format = json
`;
}
