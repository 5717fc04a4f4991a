import type { Logger } from "winston";
import winston from "winston";
import { createBoundedOutput } from "./createBoundedOutput.js";
import type { Metrics } from "./Metrics.js";

/**
 * Creates a logger that writes one JSON object per line to standard output.
 *
 * Logging never blocks: lines that exceed the output's buffer are dropped and counted.
 *
 * @param node - Name of the daemon, which is added to each line.
 * @param metrics - Metrics that count the dropped lines.
 * @returns The logger.
 */
export function createLog(node: string, metrics: Metrics): Logger {
    const { combine, timestamp, json } = winston.format;
    return winston.createLogger({
        level: "info",
        defaultMeta: { node },
        format: combine(timestamp(), json()),
        transports: [
            new winston.transports.Stream({
                stream: createBoundedOutput(() => metrics.droppedLogLines.inc()),
            }),
        ],
    });
}
