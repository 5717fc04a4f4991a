import type { Result } from "neverthrow";

/** Combines concurrent write requests into one write of the latest state. */
export type GroupCommit<E> = {
    /** Resolves with the result of a write that starts no earlier than this call. */
    readonly commit: () => Promise<Result<void, E>>;
};

/**
 * Creates a group commit: at most one write is in progress, and all callers that arrive in the
 * meantime share the next one.
 *
 * @param write - Writes the state as it is at the time of the call.
 * @returns The group commit.
 *
 * @example
 * const groupCommit = createGroupCommit(() => writeState());
 */
export function createGroupCommit<E>(write: () => Promise<Result<void, E>>): GroupCommit<E> {
    let currentWrite: Promise<Result<void, E>> | undefined;
    let nextWrite: Promise<Result<void, E>> | undefined;

    function startWrite(): Promise<Result<void, E>> {
        currentWrite = write().finally(() => {
            currentWrite = undefined;
        });
        return currentWrite;
    }

    async function startWriteAfterCurrent(): Promise<Result<void, E>> {
        while (currentWrite !== undefined) {
            await currentWrite.catch(() => undefined);
        }
        nextWrite = undefined;
        return startWrite();
    }

    return {
        commit: () => {
            // A pending next write is joined even if the current write has just ended; otherwise two could overlap.
            if (nextWrite === undefined && currentWrite === undefined) {
                return startWrite();
            }
            nextWrite ??= startWriteAfterCurrent();
            return nextWrite;
        },
    };
}
