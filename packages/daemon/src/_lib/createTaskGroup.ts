/** Background tasks that end together. */
export type TaskGroup = {
    /** Starts a task; a defect in it is passed to `onError`. */
    readonly start: (task: () => Promise<void>) => void;
    /** Waits until every task has ended. */
    readonly waitForAll: () => Promise<void>;
};

/**
 * Creates a group of background tasks.
 *
 * @param onError - Receives what a task throws.
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
