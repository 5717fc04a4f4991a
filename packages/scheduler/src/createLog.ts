import { write } from "node:fs";
import { Writable } from "node:stream";
import type { Logger } from "winston";
import winston from "winston";
import type { Metrics } from "./Metrics.js";

/** Bytes of log lines that may wait for the output. */
const MAX_PENDING_BYTES = 1_000_000;

const STDOUT = 1;

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
        transports: [new winston.transports.Stream({ stream: createBoundedOutput(metrics) })],
    });
}

function createBoundedOutput(metrics: Metrics): Writable {
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let isWriting = false;
    const drain = (): void => {
        if (isWriting || pending.length === 0) {
            return;
        }
        isWriting = true;
        const chunk = Buffer.concat(pending);
        pending = [];
        write(STDOUT, chunk, (error, written) => {
            isWriting = false;
            pendingBytes -= error === null ? written : chunk.length;
            if (error === null && written < chunk.length) {
                pending.unshift(chunk.subarray(written));
            }
            drain();
        });
    };
    return new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            if (pendingBytes + chunk.length > MAX_PENDING_BYTES) {
                metrics.droppedLogLines.inc();
            }
            else {
                pending.push(chunk);
                pendingBytes += chunk.length;
                drain();
            }
            done();
        },
    });
}
