import { sha256Hex } from "@balsamward/schema";
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
export type DaemonPlan = {
    readonly id: string;
    readonly dataCentre: string;
    readonly addresses: DaemonAddresses;
    /** Base address of the store as `http://IP:port`. */
    readonly store: string;
    /** Base address of the VM list as `http://IP:port`. */
    readonly vmList: string;
    readonly logLevel: "info" | "warn" | "debug";
};

/**
 * Returns the addresses of a daemon on the loopback address.
 *
 * @param firstPort - The first of three ports.
 * @returns The addresses.
 */
export function loopbackAddresses(firstPort: number): DaemonAddresses {
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
 * @param plan - The settings.
 * @returns The path of the file.
 */
export function writeDaemonSettings(folder: string, plan: DaemonPlan): string {
    const path = join(folder, `${plan.id}.ini`);
    writeFileSync(
        path,
        [
            "[node]",
            `id = ${plan.id}`,
            `data_centre = ${plan.dataCentre}`,
            "environment = production",
            "[listeners]",
            `callers = ${plan.addresses.callers}`,
            `peers = ${plan.addresses.peers}`,
            `operations = ${plan.addresses.operations}`,
            "[platform]",
            `store = ${plan.store}`,
            `vm_list = ${plan.vmList}`,
            "[operators]",
            `token_sha256 = ${sha256Hex(OPERATOR_TOKEN)}`,
            "[log]",
            `level = ${plan.logLevel}`,
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
 * @param plan - The daemon to call.
 * @param customer - The customer; its token is its name with '-token'.
 * @returns The path of the file.
 */
export function writeCommandSettings(folder: string, plan: DaemonPlan, customer: string): string {
    const path = join(folder, `command-${plan.id}.ini`);
    writeFileSync(
        path,
        [
            "[daemon]",
            `callers = http://${plan.addresses.callers}`,
            `operations = http://${plan.addresses.operations}`,
            "[tokens]",
            `customer = ${customer}-token`,
            `operator = ${OPERATOR_TOKEN}`,
            "",
        ].join("\n"),
    );
    return path;
}
