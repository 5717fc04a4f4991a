import { sha256Hex } from "@balsamward/schema";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { OPERATOR_TOKEN } from "./constants.js";

/** Listener addresses of a daemon as `IP:port`. */
export type DaemonAddresses = {
    readonly callers: string;
    readonly peers: string;
    readonly operations: string;
};

/** Options for the settings file of a daemon. */
export type DaemonOptions = {
    readonly id: string;
    readonly dataCentre: string;
    readonly addresses: DaemonAddresses;
    /** Base URL of the store, as `http://IP:port`. */
    readonly storeUrl: string;
    /** Base URL of the VM list, as `http://IP:port`. */
    readonly vmListUrl: string;
    readonly logLevel: "info" | "warn" | "debug";
};

/**
 * Returns loopback addresses for a daemon's listeners.
 *
 * @param firstPort - The first of three consecutive ports.
 * @returns The addresses.
 */
export function getLoopbackAddresses(firstPort: number): DaemonAddresses {
    return {
        callers: `127.0.0.1:${firstPort}`,
        peers: `127.0.0.1:${firstPort + 1}`,
        operations: `127.0.0.1:${firstPort + 2}`,
    };
}

/**
 * Writes the settings file of a daemon.
 *
 * @param folder - The folder for the file.
 * @param options - The daemon's options; the file is named after its id.
 * @returns The path of the file.
 */
export function writeDaemonSettings(folder: string, options: DaemonOptions): string {
    const path = join(folder, `${options.id}.ini`);
    writeFileSync(
        path,
        [
            "[node]",
            `id = ${options.id}`,
            `data_centre = ${options.dataCentre}`,
            "environment = production",
            "[listeners]",
            `callers = ${options.addresses.callers}`,
            `peers = ${options.addresses.peers}`,
            `operations = ${options.addresses.operations}`,
            "[platform]",
            `store = ${options.storeUrl}`,
            `vm_list = ${options.vmListUrl}`,
            "[operators]",
            `token_sha256 = ${sha256Hex(OPERATOR_TOKEN)}`,
            "[log]",
            `level = ${options.logLevel}`,
            "format = json",
            "",
        ].join("\n"),
    );
    return path;
}

/**
 * Writes the settings file of the command 'balsamward'.
 *
 * @param folder - The folder for the file.
 * @param daemonOptions - The options of the daemon to call.
 * @param customer - The name of the customer; its token is the name followed by '-token'.
 * @returns The path of the file.
 */
export function writeCommandSettings(folder: string, daemonOptions: DaemonOptions, customer: string): string {
    const path = join(folder, `command-${daemonOptions.id}.ini`);
    writeFileSync(
        path,
        [
            "[daemon]",
            `callers = http://${daemonOptions.addresses.callers}`,
            `operations = http://${daemonOptions.addresses.operations}`,
            "[tokens]",
            `customer = ${customer}-token`,
            `operator = ${OPERATOR_TOKEN}`,
            "",
        ].join("\n"),
    );
    return path;
}
