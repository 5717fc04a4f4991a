import type { DaemonOptions, StartedProcess } from "@balsamward/measure";
import { getLoopbackAddresses, startProcess, writeDaemonSettings } from "@balsamward/measure";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Loopback ports used by the demo. */
export const PORTS = { store: 7610, vmList: 7611, control: 7612, firstDaemon: 7620 } as const;

/** The data centre of each daemon that the demo starts, by the index of the daemon. */
export const DAEMON_DATA_CENTRES = ["recife", "recife", "fortaleza"] as const;

const PORTS_PER_DAEMON = 3;

/** The child processes of the demo. */
export type DemoProcesses = {
    /** Folder that holds the settings files and logs. */
    readonly folder: string;
    readonly processes: readonly StartedProcess[];
    readonly startDaemon: (index: number, dataCentre: string) => StartedProcess;
};

/**
 * Starts the stand-ins for the platform's store and fleet.
 *
 * @returns The started processes, and a function that starts a daemon and adds it to them.
 */
export function startDemoProcesses(): DemoProcesses {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-demo-"));
    const processes: StartedProcess[] = [];
    const startNamed = (name: string, args: readonly string[]): StartedProcess => {
        const process = startProcess(name, args, folder);
        processes.push(process);
        return process;
    };
    const standIns = "packages/stand-ins/dist/main.js";
    startNamed("store", [standIns, "store", "--port", String(PORTS.store)]);
    startNamed("fleet", [
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
    const startDaemon = (index: number, dataCentre: string): StartedProcess => {
        const settingsPath = writeDaemonSettings(folder, getDaemonOptions(index, dataCentre));
        return startNamed(`entry-${index}`, [
            "packages/daemon/bin/balsamwardd.js",
            "--settings",
            settingsPath,
        ]);
    };
    return { folder, processes, startDaemon };
}

/**
 * Returns the options for starting one of the demo's daemons.
 *
 * @param index - The zero-based index of the daemon.
 * @param dataCentre - The data centre in which the daemon runs.
 * @returns The options.
 */
export function getDaemonOptions(index: number, dataCentre: string): DaemonOptions {
    return {
        id: `entry-${index}`,
        dataCentre,
        addresses: getLoopbackAddresses(PORTS.firstDaemon + index * PORTS_PER_DAEMON),
        storeUrl: `http://127.0.0.1:${PORTS.store}`,
        vmListUrl: `http://127.0.0.1:${PORTS.vmList}`,
        logLevel: "info",
    };
}
