import type { Result } from "neverthrow";

/** Writes the latest state for many callers at once. */
export type GroupCommit<E> = {
    /** Returns once a write that began after this call has ended. */
    readonly commit: () => Promise<Result<void, E>>;
};

/**
 * Creates a group commit: at most one write is in progress, and all callers that come meanwhile
 * share the next one.
 *
 * @param write - Writes the state as it is when called.
 * @returns The group commit.
 *
 * @example
 * const group = createGroupCommit(() => writeState());
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
            // A caller joins the next write even when the last one has just ended, so that two never overlap.
            if (nextWrite === undefined && currentWrite === undefined) {
                return startWrite();
            }
            nextWrite ??= startWriteAfterCurrent();
            return nextWrite;
        },
    };
}
