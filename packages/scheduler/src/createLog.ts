import type { Writable } from "node:stream";
import type { Logger } from "winston";
import winston from "winston";
import { createBoundedOutput } from "./createBoundedOutput.js";
import type { Metrics } from "./Metrics.js";
import { pause } from "./pause.js";

/** Maximum time for which the end of a log waits for an output that is full, in milliseconds. */
const LOG_END_TIMEOUT_MS = 500;

const outputs = new WeakMap<Logger, Writable>();

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
    const output = createBoundedOutput(() => metrics.droppedLogLines.inc());
    const log = winston.createLogger({
        level: "info",
        defaultMeta: { node },
        format: combine(timestamp(), json()),
        transports: [new winston.transports.Stream({ stream: output })],
    });
    outputs.set(log, output);
    return log;
}

/**
 * Waits until the lines of a log are written, for a limited time if the output is full. Later lines are lost.
 *
 * @param log - A log of `createLog`.
 */
export async function endLog(log: Logger): Promise<void> {
    const output = outputs.get(log);
    if (output !== undefined) {
        await Promise.race([new Promise<void>(resolve => output.end(resolve)), pause(LOG_END_TIMEOUT_MS)]);
    }
}
