import { writeCommandSettings } from "@balsamward/measure";
import type { CommandRun } from "./runCommand.js";
import { runCommand } from "./runCommand.js";
import { DAEMON_DATA_CENTRES, getDaemonOptions, PORTS } from "./startDemoProcesses.js";

/** A job as the command 'balsamward' shows it. */
export type JobView = { readonly id: string; readonly stage: string };

/** A cell as the command 'balsamward status' shows it. */
export type CellRow = { readonly cell: string; readonly owner?: string };

/** A reservation as the fake fleet reports it. */
export type Reservation = { readonly job: string; readonly state: string; readonly heldMs: number };

/** Calls the demo's daemons by command and over HTTP, and reads the state of the stand-ins. */
export class DemoClient {
    /** The paths of the settings files for 'balsamward', one for each daemon. */
    readonly commandSettings: readonly string[];

    /**
     * Writes the settings of the commands.
     *
     * @param folder - The folder for the settings files.
     */
    constructor(folder: string) {
        this.commandSettings = DAEMON_DATA_CENTRES.map((_, index) =>
            writeCommandSettings(folder, getDaemonOptions(index, "recife"), "league-secretaries")
        );
    }

    /** Runs 'balsamward' with a daemon. */
    run(daemonIndex: number, args: readonly string[]): Promise<CommandRun> {
        return runCommand(this.commandSettings[daemonIndex]!, args);
    }

    /** Runs 'balsamward --json' with a daemon and returns what it prints; the type is not checked. */
    async runJson<T>(daemonIndex: number, args: readonly string[]): Promise<T> {
        const { stdout, stderr } = await this.run(daemonIndex, ["--json", ...args]);
        try {
            return JSON.parse(stdout) as T;
        }
        catch {
            throw new Error(
                `'balsamward ${
                    args.join(" ")
                }' did not print valid JSON. Standard output: ${stdout} Standard error: ${stderr}`,
            );
        }
    }

    /** Returns the cells as a daemon knows them. */
    async readCells(daemonIndex: number): Promise<readonly CellRow[]> {
        const status = await this.runJson<{ cells?: readonly CellRow[] }>(daemonIndex, ["status"]);
        return status.cells ?? [{ cell: "" }];
    }

    /** Returns the configuration generation that each daemon uses. */
    async readGenerations(): Promise<readonly number[]> {
        return Promise.all(this.commandSettings.map(async (_, index) => {
            const { operations } = getDaemonOptions(index, "recife").addresses;
            const { generation } = await fetchJson<{ generation: number }>(operations, "/readyz");
            return generation;
        }));
    }

    /** Returns how many requests of a kind the endpoints have run. */
    async countExecutions(kind: string): Promise<number> {
        const executions = await fetchJson<readonly { readonly kind: string }[]>(
            `127.0.0.1:${PORTS.control}`,
            "/control/executions",
        );
        return executions.filter(entry => entry.kind === kind).length;
    }

    /** Returns the reservations of a job at all workers. */
    async readReservations(job: string): Promise<readonly Reservation[]> {
        const vmList = await fetchJson<{ vms: readonly { role: string; address: string }[] }>(
            `127.0.0.1:${PORTS.vmList}`,
            "/v1/vms",
        );
        const address = vmList.vms.find(vm => vm.role === "worker")!.address;
        const reservations = await fetchJson<readonly Reservation[]>(
            new URL(address).host,
            "/control/reservations",
        );
        return reservations.filter(entry => entry.job === job);
    }

    /** Returns how many reservations of a job run. */
    async countRunningReservations(job: string): Promise<number> {
        const reservations = await this.readReservations(job);
        return reservations.filter(entry => entry.state === "running").length;
    }
}

async function fetchJson<T>(address: string, path: string): Promise<T> {
    const response = await fetch(`http://${address}${path}`);
    return await response.json() as T;
}
