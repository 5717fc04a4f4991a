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
    readonly later?: (act: () => void) => void;
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
    const later = options.later ?? (act => setTimeout(act, FULL_OUTPUT_PAUSE_MS).unref());
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let isWriting = false;
    const drain = (): void => {
        if (isWriting || pending.length === 0) {
            return;
        }
        isWriting = true;
        const all = Buffer.concat(pending);
        const chunk = all.subarray(0, MAX_WRITE_BYTES);
        pending = all.length > chunk.length ? [all.subarray(chunk.length)] : [];
        writeBytes(chunk, (error, written) => {
            isWriting = false;
            const isFull = error?.code === "EAGAIN";
            const gone = error === null ? written : isFull ? 0 : chunk.length;
            pendingBytes -= gone;
            if (gone < chunk.length) {
                pending.unshift(chunk.subarray(gone));
            }
            if (error !== null && !isFull) {
                onDrop();
            }
            if (isFull) {
                later(drain);
            }
            else {
                drain();
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
                drain();
            }
            done();
        },
    });
}
