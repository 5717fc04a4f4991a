import { startDeadline } from "./startDeadline.js";

/**
 * Waits until a task has ended, but not longer than a timeout.
 *
 * @param timeoutMs - Longest time to wait, in milliseconds.
 * @param task - The task; it goes on after the timeout.
 * @returns Whether the task has ended.
 * @throws The task's error if it fails before the timeout.
 *
 * @example
 * const hasEnded = await waitAtMost(500, endLease());
 */
export function waitAtMost(timeoutMs: number, task: Promise<unknown>): Promise<boolean> {
    return new Promise((resolve, reject) => {
        const endDeadline = startDeadline(timeoutMs, () => resolve(false));
        task.then(() => resolve(true), reject).finally(endDeadline);
    });
}
