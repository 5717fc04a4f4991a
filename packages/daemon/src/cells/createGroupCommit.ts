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
        const started = write().finally(() => {
            if (running === started) {
                running = undefined;
            }
        });
        running = started;
        return started;
    }

    async function beginAfter(previous: Promise<Result<void, E>>): Promise<Result<void, E>> {
        await previous.catch(() => undefined);
        waiting = undefined;
        return begin();
    }

    return {
        commit: () => {
            if (running === undefined) {
                return begin();
            }
            waiting ??= beginAfter(running);
            return waiting;
        },
    };
}
