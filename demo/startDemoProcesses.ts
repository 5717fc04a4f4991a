import type { DaemonOptions, StartedProcess } from "@balsamward/measure";
import { getLoopbackAddresses, startProcess, writeDaemonSettings } from "@balsamward/measure";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Ports on the loopback address that the demo uses. */
export const PORTS = { store: 7610, vmList: 7611, control: 7612, firstDaemon: 7620 } as const;

const PORTS_PER_DAEMON = 3;

/** Starts the parts of the demo as processes of their own. */
export type DemoProcesses = {
    /** Folder of settings and logs. */
    readonly folder: string;
    readonly processes: readonly StartedProcess[];
    readonly startDaemon: (index: number, dataCentre: string) => StartedProcess;
};

/**
 * Starts the stand-ins of the platform, and offers to start daemons.
 *
 * @returns The parts.
 */
export function startDemoProcesses(): DemoProcesses {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-demo-"));
    const processes: StartedProcess[] = [];
    const start = (name: string, args: readonly string[]): StartedProcess => {
        const process = startProcess(name, args, folder);
        processes.push(process);
        return process;
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
    const startDaemon = (index: number, dataCentre: string): StartedProcess => {
        const settingsPath = writeDaemonSettings(folder, getDaemonOptions(index, dataCentre));
        return start(`entry-${index}`, ["packages/daemon/bin/balsamwardd.js", "--settings", settingsPath]);
    };
    return { folder, processes, startDaemon };
}

/**
 * Returns the settings of a daemon.
 *
 * @param index - The daemon's number, from 0.
 * @param dataCentre - The data centre in which it runs.
 * @returns The settings.
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
