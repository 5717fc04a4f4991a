import { RETRY_PAUSE_MAX_MS, RETRY_PAUSE_MS, RETRY_RESERVE, RETRY_SHARE } from "./constants.js";

/** Bounds retries to a share of successes. */
export type RetryBudget = {
    /** Records a success, which earns a share of a retry. */
    readonly succeed: () => void;
    /** Takes one retry out of the budget; false if it is spent. */
    readonly take: () => boolean;
};

/**
 * Creates a retry budget.
 *
 * @returns The budget, which starts with a small reserve.
 *
 * @example
 * const budget = createRetryBudget();
 */
export function createRetryBudget(): RetryBudget {
    let tokens = RETRY_RESERVE;
    return {
        succeed: () => {
            tokens = Math.min(RETRY_RESERVE, tokens + RETRY_SHARE);
        },
        take: () => {
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
    };
}

/**
 * Returns the pause before a retry.
 *
 * @param attempt - Number of failed attempts, from 1.
 * @param random - Returns a number from 0 up to 1.
 * @returns The pause in milliseconds, with full jitter.
 *
 * @example
 * retryPause(1, () => 0.5); // 2.5
 */
export function retryPause(attempt: number, random: () => number): number {
    return random() * Math.min(RETRY_PAUSE_MAX_MS, RETRY_PAUSE_MS * 2 ** (attempt - 1));
}
