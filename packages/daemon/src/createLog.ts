import type { LogSettings } from "@balsamward/schema";
import { LogFormat, LogLevel } from "@balsamward/schema";
import type { Logger } from "winston";
import { createLogger, format, transports } from "winston";

/**
 * Creates the logger of a daemon, which writes to standard error.
 *
 * @param settings - The level and format.
 * @param node - The daemon's id, which is added to each entry.
 * @returns The logger.
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
