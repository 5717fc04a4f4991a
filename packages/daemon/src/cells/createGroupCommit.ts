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
    let running: Promise<Result<void, E>> | undefined;
    let waiting: Promise<Result<void, E>> | undefined;

    function begin(): Promise<Result<void, E>> {
        running = write().finally(() => {
            running = undefined;
        });
        return running;
    }

    async function beginAfterRunning(): Promise<Result<void, E>> {
        while (running !== undefined) {
            await running.catch(() => undefined);
        }
        waiting = undefined;
        return begin();
    }

    return {
        commit: () => {
            // A caller joins the next write even when the last one has just ended, so that two never overlap.
            if (waiting === undefined && running === undefined) {
                return begin();
            }
            waiting ??= beginAfterRunning();
            return waiting;
        },
    };
}
