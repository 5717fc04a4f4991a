import type { Logger } from "winston";
import winston from "winston";
import { createBoundedOutput } from "./createBoundedOutput.js";
import type { Metrics } from "./Metrics.js";

/**
 * Creates a log that writes one JSON object a line to standard output.
 *
 * Writing never blocks: lines that find the output full are dropped and counted.
 *
 * @param node - The daemon's name, part of each line.
 * @param metrics - Counts dropped lines.
 * @returns The log.
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
