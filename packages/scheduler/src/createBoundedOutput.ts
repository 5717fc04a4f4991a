import { write } from "node:fs";
import { Writable } from "node:stream";
import { waitAtMost } from "./waitAtMost.js";

/** Maximum size of the lines that are waiting to be written, in bytes. */
export const MAX_PENDING_BYTES = 1_000_000;

/** Pause before writing again to an output that was full, in milliseconds. */
const FULL_OUTPUT_PAUSE_MS = 10;

/** Maximum size of one write in bytes; a pipe accepts a write of this size completely or not at all. */
const MAX_WRITE_BYTES = 4_096;

const STDOUT = 1;

const NEWLINE = 0x0a;

/** Writes bytes, and reports how many of them were written. */
export type WriteBytes = (
    bytes: Buffer,
    done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** A stream that never blocks its writer, and drops lines that exceed its buffer. */
export type BoundedOutput = {
    readonly stream: Writable;
    /** Waits until all buffered lines are written, but not longer than a timeout; returns whether they are. */
    readonly flush: (timeoutMs: number) => Promise<boolean>;
};

/** Options of `createBoundedOutput`. */
export type CreateBoundedOutputOptions = {
    /** Writes to the output; defaults to standard output. */
    readonly writeBytes?: WriteBytes;
    /** Calls back after a pause; defaults to a timer. */
    readonly retryLater?: (callback: () => void) => void;
};

/**
 * Creates an output whose stream never blocks its writer.
 *
 * Lines that the output does not accept yet are buffered up to a limit; further lines are dropped. A write that
 * fails for any other reason than a full output is dropped as well.
 *
 * @param onDrop - Called for each line that exceeds the limit, and once for each failed write.
 * @param options - Replacements for the output and the timer.
 * @returns The output.
 */
export function createBoundedOutput(
    onDrop: () => void,
    options: CreateBoundedOutputOptions = {},
): BoundedOutput {
    const writeBytes = options.writeBytes ?? ((bytes, done) => write(STDOUT, bytes, done));
    const retryLater = options.retryLater ?? (callback => setTimeout(callback, FULL_OUTPUT_PAUSE_MS).unref());
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let isWriting = false;
    const waiters: (() => void)[] = [];
    const writePending = (): void => {
        if (isWriting) {
            return;
        }
        if (pending.length === 0) {
            waiters.splice(0).forEach(resolve => resolve());
            return;
        }
        isWriting = true;
        const allBytes = Buffer.concat(pending);
        const chunk = takeLines(allBytes);
        pending = allBytes.length > chunk.length ? [allBytes.subarray(chunk.length)] : [];
        writeBytes(chunk, (error, written) => {
            isWriting = false;
            const isFull = error?.code === "EAGAIN";
            const consumedBytes = error === null ? written : isFull ? 0 : chunk.length;
            pendingBytes -= consumedBytes;
            if (consumedBytes < chunk.length) {
                pending.unshift(chunk.subarray(consumedBytes));
            }
            if (error !== null && !isFull) {
                onDrop();
            }
            if (isFull) {
                retryLater(writePending);
            }
            else {
                writePending();
            }
        });
    };
    const stream = new Writable({
        write: (chunk: Buffer, _encoding, done) => {
            if (pendingBytes + chunk.length > MAX_PENDING_BYTES) {
                onDrop();
            }
            else {
                pending.push(chunk);
                pendingBytes += chunk.length;
                writePending();
            }
            done();
        },
    });
    return {
        stream,
        flush: timeoutMs =>
            waitAtMost(
                timeoutMs,
                new Promise<void>(resolve => {
                    waiters.push(resolve);
                    writePending();
                }),
            ),
    };
}

/** Takes whole lines for one write, so that lines of other processes on the same output do not get between them. */
function takeLines(bytes: Buffer): Buffer {
    const lineEnd = bytes.length <= MAX_WRITE_BYTES ? -1 : bytes.lastIndexOf(NEWLINE, MAX_WRITE_BYTES - 1);
    return bytes.subarray(0, lineEnd < 0 ? MAX_WRITE_BYTES : lineEnd + 1);
}
