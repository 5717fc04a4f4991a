import type { DaemonPlan, StartedProcess } from "@balsamward/measure";
import { loopbackAddresses, startProcess, writeDaemonSettings } from "@balsamward/measure";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Ports on the loopback address that the demo uses. */
export const PORTS = { store: 7610, vmList: 7611, control: 7612, firstDaemon: 7620 } as const;

const PORTS_EACH = 3;

/** Starts the parts of the demo as processes of their own. */
export type Parts = {
    /** Folder of settings and logs. */
    readonly folder: string;
    readonly all: readonly StartedProcess[];
    readonly startDaemon: (index: number, dataCentre: string) => StartedProcess;
};

/**
 * Starts the stand-ins of the platform, and offers to start daemons.
 *
 * @returns The parts.
 */
export function startParts(): Parts {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-demo-"));
    const all: StartedProcess[] = [];
    const start = (name: string, args: readonly string[]): StartedProcess => {
        const process = startProcess(name, args, folder);
        all.push(process);
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
        const settings = writeDaemonSettings(folder, planDaemon(index, dataCentre));
        return start(`entry-${index}`, ["packages/daemon/bin/balsamwardd.js", "--settings", settings]);
    };
    return { folder, all, startDaemon };
}

/**
 * Returns the settings of a daemon.
 *
 * @param index - The daemon's number, from 0.
 * @param dataCentre - The data centre in which it runs.
 * @returns The settings.
 */
export function planDaemon(index: number, dataCentre: string): DaemonPlan {
    return {
        id: `entry-${index}`,
        dataCentre,
        addresses: loopbackAddresses(PORTS.firstDaemon + index * PORTS_EACH),
        store: `http://127.0.0.1:${PORTS.store}`,
        vmList: `http://127.0.0.1:${PORTS.vmList}`,
        logLevel: "info",
    };
}
