import { hashText } from "@balsamward/schema";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { OPERATOR_TOKEN } from "./constants.js";

/** Addresses of one daemon, as `IP:port`. */
export type DaemonAddresses = {
    readonly callers: string;
    readonly peers: string;
    readonly operations: string;
};

/** The settings of a daemon. */
export type DaemonOptions = {
    readonly id: string;
    readonly dataCentre: string;
    readonly addresses: DaemonAddresses;
    /** Base address of the store as `http://IP:port`. */
    readonly storeUrl: string;
    /** Base address of the VM list as `http://IP:port`. */
    readonly vmListUrl: string;
    readonly logLevel: "info" | "warn" | "debug";
};

/**
 * Returns the addresses of a daemon on the loopback address.
 *
 * @param firstPort - The first of three ports.
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
 * @param folder - The folder.
 * @param options - The settings.
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
            `token_sha256 = ${hashText(OPERATOR_TOKEN)}`,
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
 * @param folder - The folder.
 * @param daemonOptions - The daemon to call.
 * @param customer - The customer; its token is its name with '-token'.
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
