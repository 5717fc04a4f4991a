import {
    MAX_RETRY_TOKENS,
    RETRY_BASE_DELAY_MS,
    RETRY_MAX_DELAY_MS,
    RETRY_TOKENS_PER_SUCCESS,
} from "./constants.js";

/** Bounds retries to a share of successes. */
export type RetryBudget = {
    /** Records a success, which earns a share of a retry. */
    readonly recordSuccess: () => void;
    /** Takes one retry out of the budget; false if it is spent. */
    readonly tryTake: () => boolean;
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
    let tokens = MAX_RETRY_TOKENS;
    return {
        recordSuccess: () => {
            tokens = Math.min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_SUCCESS);
        },
        tryTake: () => {
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
 * retryDelayMs(1, () => 0.5); // 2.5
 */
export function retryDelayMs(attempt: number, random: () => number): number {
    return random() * Math.min(RETRY_MAX_DELAY_MS, RETRY_BASE_DELAY_MS * 2 ** (attempt - 1));
}
