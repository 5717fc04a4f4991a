import {
    MAX_RETRY_TOKENS,
    RETRY_BASE_DELAY_MS,
    RETRY_MAX_DELAY_MS,
    RETRY_TOKENS_PER_SUCCESS,
} from "./constants.js";

/** Limits retries to a share of the successful requests, so that retries cannot multiply an overload. */
export type RetryBudget = {
    /** Records a successful request, which adds `RETRY_TOKENS_PER_SUCCESS` to the budget. */
    readonly recordSuccess: () => void;
    /** Takes one retry out of the budget, or returns false if the budget is exhausted. */
    readonly tryTake: () => boolean;
};

/**
 * Creates a retry budget that starts full, with `MAX_RETRY_TOKENS`.
 *
 * @returns The budget.
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
 * Returns a delay before a retry, with exponential backoff and full jitter.
 *
 * @param attempt - Number of failed attempts so far, from 1.
 * @param random - Returns a number from 0 to below 1.
 * @returns The delay in milliseconds.
 *
 * @example
 * retryDelayMs(1, () => 0.5); // 2.5
 */
export function retryDelayMs(attempt: number, random: () => number): number {
    return random() * Math.min(RETRY_MAX_DELAY_MS, RETRY_BASE_DELAY_MS * 2 ** (attempt - 1));
}
