import type { LogSettings } from "@balsamward/schema";
import { LogFormat, LogLevel } from "@balsamward/schema";
import type { Logger } from "winston";
import { createLogger, format, transports } from "winston";

/**
 * Creates the log of a daemon, which writes to the standard error output.
 *
 * @param settings - Level and format.
 * @param node - The daemon, named in each entry.
 * @returns The log.
 *
 * @example
 * createLog(settings.log!, "entry-1").info("The daemon starts.");
 */
export function createLog(settings: LogSettings, node: string): Logger {
    const text = format.printf(({ timestamp, level, message, ...fields }) =>
        `${String(timestamp)} ${level} ${String(message)} ${JSON.stringify(fields)}`
    );
    return createLogger({
        level: LogLevel[settings.level].toLowerCase(),
        defaultMeta: { node },
        format: format.combine(
            format.timestamp(),
            settings.format === LogFormat.TEXT ? text : format.json(),
        ),
        transports: [new transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
}
