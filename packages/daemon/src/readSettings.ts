import type { DaemonSettings, InputError } from "@balsamward/schema";
import { DaemonSettingsSchema, decodeIni } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, fromThrowable } from "neverthrow";
import { readFileSync } from "node:fs";

/** Why settings cannot be used. */
export type SettingsError = InputError | { readonly kind: "unreadable-file"; readonly message: string };

/**
 * Reads and checks the settings of a daemon.
 *
 * @param path - The settings file.
 * @returns The settings, or every fault with its line and a remedy.
 *
 * @example
 * readSettings("balsamwardd.ini").map(settings => settings.node);
 */
export function readSettings(path: string): Result<DaemonSettings, readonly SettingsError[]> {
    const text = fromThrowable(() => readFileSync(path, "utf8"))();
    if (text.isErr()) {
        return err([{
            kind: "unreadable-file",
            message: `The file '${path}' cannot be read. Check path and rights.`,
        }]);
    }
    return decodeIni(DaemonSettingsSchema, text.value);
}
