import { write } from "node:fs";
import { Writable } from "node:stream";

/** Bytes of lines that may wait for the output. */
export const MAX_PENDING_BYTES = 1_000_000;

/** Pause before lines that found the output full are written again, in milliseconds. */
const FULL_OUTPUT_PAUSE_MS = 10;

/** Bytes of one write, which a pipe takes whole or not at all. */
const MAX_WRITE_BYTES = 4_096;

const STDOUT = 1;

/** Writes bytes, and tells how many were written. */
export type WriteBytes = (
    bytes: Buffer,
    done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Options of `createBoundedOutput`. */
export type CreateBoundedOutputOptions = {
    /** Writes to the output; to standard output if none is given. */
    readonly writeBytes?: WriteBytes;
    /** Acts after a pause. */
    readonly retryLater?: (callback: () => void) => void;
};

/**
 * Creates a stream that never blocks: what the output does not take yet waits up to a bound, and lines
 * beyond it are dropped.
 *
 * @param onDrop - Called for each dropped line.
 * @param options - The output.
 * @returns The stream.
 */
export function createBoundedOutput(onDrop: () => void, options: CreateBoundedOutputOptions = {}): Writable {
    const writeBytes = options.writeBytes ?? ((bytes, done) => write(STDOUT, bytes, done));
    const retryLater = options.retryLater ?? (callback => setTimeout(callback, FULL_OUTPUT_PAUSE_MS).unref());
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let isWriting = false;
    const writePending = (): void => {
        if (isWriting || pending.length === 0) {
            return;
        }
        isWriting = true;
        const allBytes = Buffer.concat(pending);
        const chunk = allBytes.subarray(0, MAX_WRITE_BYTES);
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
    return new Writable({
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
}
