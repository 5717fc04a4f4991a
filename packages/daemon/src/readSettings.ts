import type { DaemonSettings, InputError } from "@balsamward/schema";
import { DaemonSettingsSchema, decodeIni } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, fromThrowable } from "neverthrow";
import { readFileSync } from "node:fs";

/** An error in the settings, or in reading their file. */
export type SettingsError = InputError | { readonly kind: "unreadable-file"; readonly message: string };

/**
 * Reads and validates the settings of a daemon.
 *
 * @param path - The path of the settings file.
 * @returns The settings, or every error with its line and how to correct it.
 *
 * @example
 * readSettings("balsamwardd.ini").map(settings => settings.node);
 */
export function readSettings(path: string): Result<DaemonSettings, readonly SettingsError[]> {
    const text = fromThrowable(() => readFileSync(path, "utf8"))();
    if (text.isErr()) {
        return err([{
            kind: "unreadable-file",
            message: `The settings file '${path}' cannot be read. Check the path and the file's permissions.`,
        }]);
    }
    return decodeIni(DaemonSettingsSchema, text.value);
}
