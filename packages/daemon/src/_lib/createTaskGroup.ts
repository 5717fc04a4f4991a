/** A group of background tasks whose end can be awaited. */
export type TaskGroup = {
    /** Starts a task; an error that it throws is passed to `onError`. */
    readonly start: (task: () => Promise<void>) => void;
    /** Waits until every task has ended, including tasks started in the meantime. */
    readonly waitForAll: () => Promise<void>;
};

/**
 * Creates a group of background tasks.
 *
 * @param onError - Called with the error that a task throws.
 * @returns The group.
 */
export function createTaskGroup(onError: (error: unknown) => void): TaskGroup {
    const tasks = new Set<Promise<void>>();
    return {
        start: task => {
            const running: Promise<void> = task().catch(onError).finally(() => tasks.delete(running));
            tasks.add(running);
        },
        waitForAll: async () => {
            while (tasks.size > 0) {
                await Promise.all(tasks);
            }
        },
    };
}
