import { execFileSync } from "node:child_process";
import { constants } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { open } from "node:fs/promises";
import { setImmediate as nextTurn } from "node:timers/promises";

/** A named pipe, which holds its reader up until it is written to. */
export type NamedPipe = {
    /** Waits until a process reads from the pipe, and opens it for writing; fails if `hasReaderEnded` returns true. */
    readonly openForReader: (hasReaderEnded: () => boolean) => Promise<FileHandle>;
};

/**
 * Creates a named pipe.
 *
 * @param path - Path of the pipe.
 * @returns The pipe.
 */
export function createNamedPipe(path: string): NamedPipe {
    execFileSync("mkfifo", [path]);
    return {
        openForReader: async hasReaderEnded => {
            while (!hasReaderEnded()) {
                const file = await tryOpen(path);
                if (file !== undefined) {
                    return file;
                }
                await nextTurn();
            }
            throw new Error("The reader has ended without opening the pipe.");
        },
    };
}

/** Opens a pipe for writing; returns `undefined` if nothing reads from it. */
async function tryOpen(path: string): Promise<FileHandle | undefined> {
    try {
        return await open(path, constants.O_WRONLY | constants.O_NONBLOCK);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENXIO") {
            return undefined;
        }
        throw error;
    }
}
