import type { Logger } from "winston";
import winston from "winston";
import type { BoundedOutput } from "./createBoundedOutput.js";
import { createBoundedOutput } from "./createBoundedOutput.js";
import type { Metrics } from "./Metrics.js";

/** A logger whose lines can be waited for. */
export type FlushableLogger = Logger & Pick<BoundedOutput, "flush">;

/**
 * Creates a logger that writes one JSON object per line to standard output.
 *
 * Logging never blocks: lines that exceed the output's buffer are dropped and counted, and those that the output has
 * not accepted yet are lost when the process exits, unless they are flushed before.
 *
 * @param node - Name of the daemon, which is added to each line.
 * @param metrics - Metrics that count the dropped lines.
 * @returns The logger.
 *
 * @example
 * log.info("The daemon has stopped.");
 * await log.flush(200);
 * process.exit(0);
 */
export function createLog(node: string, metrics: Metrics): FlushableLogger {
    const output = createBoundedOutput(() => metrics.droppedLogLines.inc());
    const { combine, timestamp, json } = winston.format;
    const logger = winston.createLogger({
        level: "info",
        defaultMeta: { node },
        format: combine(timestamp(), json()),
        transports: [new winston.transports.Stream({ stream: output.stream })],
    });
    return Object.assign(logger, { flush: output.flush });
}
