/** Background tasks that end together. */
export type TaskGroup = {
    /** Starts a task; a defect in it is passed to `onDefect`. */
    readonly start: (task: () => Promise<void>) => void;
    /** Waits until every task has ended. */
    readonly settled: () => Promise<void>;
};

/**
 * Creates a group of background tasks.
 *
 * @param onDefect - Receives what a task throws.
 * @returns The group.
 */
export function createTaskGroup(onDefect: (error: unknown) => void): TaskGroup {
    const tasks = new Set<Promise<void>>();
    return {
        start: task => {
            const running: Promise<void> = task().catch(onDefect).finally(() => tasks.delete(running));
            tasks.add(running);
        },
        settled: async () => {
            while (tasks.size > 0) {
                await Promise.all(tasks);
            }
        },
    };
}
