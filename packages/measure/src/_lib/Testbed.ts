import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import type { StartedProcess } from "../startProcess.js";
import { startProcess } from "../startProcess.js";
import type { DaemonAddresses } from "../writeSettings.js";
import { getLoopbackAddresses, writeDaemonSettings } from "../writeSettings.js";
import { callOperatorApi, promoteDocument, waitUntil } from "./callOperatorApi.js";

const FIRST_PORT = 7_800;
const PORTS_PER_DAEMON = 3;

/** The running processes of a measurement: store, fleet and daemons. */
export type Testbed = {
    readonly daemons: readonly TestbedDaemon[];
    readonly storeUrl: string;
    /** Base URL of the worker agents. */
    readonly agentsUrl: string;
    readonly stop: () => Promise<void>;
};

/** A daemon of a testbed. */
export type TestbedDaemon = {
    readonly pid: number;
    readonly addresses: DaemonAddresses;
    readonly process: StartedProcess;
};

/** Options for a testbed. */
export type TestbedOptions = {
    readonly daemonCount: number;
    /** Data centres of the fleet as `data-centre:workers:workers per rack:accelerators per worker`. */
    readonly fleetParts: readonly string[];
    readonly documentText: string;
    readonly startEndpoints: boolean;
    /** Time in milliseconds that an endpoint takes to serve a request; 2 by default. */
    readonly endpointServiceMs?: number;
};

/**
 * Starts a store, a fleet and daemons, promotes a document and waits until every cell has an owner.
 *
 * @param options - The options.
 * @returns The testbed; call its `stop` to end the processes.
 */
export async function startTestbed(options: TestbedOptions): Promise<Testbed> {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-measure-"));
    const started: StartedProcess[] = [];
    const startNamed = (name: string, args: readonly string[]) => {
        const process = startProcess(name, args, folder);
        started.push(process);
        return process;
    };
    const standIns = "packages/stand-ins/dist/main.js";
    await startNamed("store", [standIns, "store", "--port", String(FIRST_PORT)]).firstOutputLine;
    const portArgs = ["--vm-list-port", String(FIRST_PORT + 1), "--control-port", String(FIRST_PORT + 2)];
    const serviceArgs = ["--service-ms", String(options.endpointServiceMs ?? 2)];
    const fleetArgs = [standIns, "fleet", "--part", ...options.fleetParts, ...portArgs, ...serviceArgs];
    const fleet = startNamed("fleet", options.startEndpoints ? fleetArgs : [...fleetArgs, "--no-endpoints"]);
    const { agents } = JSON.parse(await fleet.firstOutputLine) as { agents: string };
    const daemons = Array.from({ length: options.daemonCount }, (_, index): TestbedDaemon => {
        const addresses = getLoopbackAddresses(FIRST_PORT + 3 + index * PORTS_PER_DAEMON);
        const settings = writeDaemonSettings(folder, {
            id: `entry-${index}`,
            dataCentre: options.fleetParts[0]!.split(":")[0]!,
            addresses,
            storeUrl: `http://127.0.0.1:${FIRST_PORT}`,
            vmListUrl: `http://127.0.0.1:${FIRST_PORT + 1}`,
            logLevel: "info",
        });
        const process = startNamed(`entry-${index}`, [
            "packages/daemon/bin/balsamwardd.js",
            "--settings",
            settings,
        ]);
        return { pid: process.child.pid!, addresses, process };
    });
    await waitUntilReady(daemons, options);
    return {
        daemons,
        storeUrl: `http://127.0.0.1:${FIRST_PORT}`,
        agentsUrl: agents,
        stop: async () => {
            await Promise.all(daemons.map(daemon => daemon.process.stop()));
            await Promise.all(started.map(process => process.stop()));
        },
    };
}

async function waitUntilReady(daemons: readonly TestbedDaemon[], options: TestbedOptions): Promise<void> {
    await waitUntil("every daemon has heard from all others", async () => {
        const statuses = await Promise.all(daemons.map(daemon => readStatus(daemon)));
        return statuses.every(status =>
            status.members.filter(member => member.heard).length === daemons.length
        );
    });
    await promoteDocument(daemons[0]!.addresses.operations, options.documentText);
    await waitUntil("every cell has an owner", async () => {
        const status = await readStatus(daemons[0]!);
        return status.cells.length > 0 && status.cells.every(cell => cell.owner !== undefined);
    });
}

/** A daemon's view of the members and cells. */
export type DaemonStatus = {
    readonly generation: number;
    readonly members: readonly { readonly node: string; readonly heard: boolean }[];
    readonly cells: readonly { readonly cell: string; readonly owner?: string }[];
};

/**
 * Reads the status of a daemon from its operator API.
 *
 * @param daemon - The daemon.
 * @returns The daemon's view of the members and cells.
 */
export async function readStatus(daemon: TestbedDaemon): Promise<DaemonStatus> {
    return await callOperatorApi(
        daemon.addresses.operations,
        "/v1/operator/status",
    ) as unknown as DaemonStatus;
}

/**
 * Reads a metric of a daemon, summed over all label values.
 *
 * @param daemon - The daemon.
 * @param name - The name of the metric.
 * @returns The sum; 0 if the daemon does not expose the metric.
 */
export async function readMetric(daemon: TestbedDaemon, name: string): Promise<number> {
    const response = await request(`http://${daemon.addresses.operations}/metrics`);
    const lines = (await response.body.text()).split("\n");
    return lines
        .filter(line => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
        .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(" ") + 1)), 0);
}

/**
 * Fetches a JSON value from a stand-in.
 *
 * @param url - The URL.
 * @returns The parsed value, which is not validated.
 */
export async function readJson<T>(url: string): Promise<T> {
    const response = await request(url);
    return await response.body.json() as T;
}
