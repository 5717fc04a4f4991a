/** Maximum number of requests that wait in the queue of one daemon. */
export const MAX_QUEUED_REQUESTS = 20_000;

/** Maximum number of requests of one caller that wait in the queue of one daemon. */
export const MAX_QUEUED_REQUESTS_PER_CALLER = 2_000;

/**
 * Relative share of dispatches that each urgency class receives while all classes have waiting requests.
 * Indexed by the values of the enum `Urgency`: unspecified, low, normal, high, urgent.
 */
export const URGENCY_WEIGHTS: readonly number[] = [1, 1, 2, 4, 8];

/** Retry tokens that each successful request adds to a retry budget; a retry costs one token. */
export const RETRY_TOKENS_PER_SUCCESS = 0.1;

/** Retry tokens that a budget starts with, which is also the most that it holds. */
export const MAX_RETRY_TOKENS = 10;

/** Upper bound in milliseconds of the random delay before the first retry; doubled for each further one. */
export const RETRY_BASE_DELAY_MS = 5;

/** Maximum delay in milliseconds before a retry. */
export const RETRY_MAX_DELAY_MS = 200;

/** Number of consecutive failures after which an endpoint is ejected. */
export const EJECTION_FAILURE_THRESHOLD = 5;

/** Duration in milliseconds of an endpoint's first ejection; doubled for each further one. */
export const EJECTION_INITIAL_MS = 2_000;

/** Maximum duration in milliseconds of an ejection. */
export const EJECTION_MAX_MS = 60_000;

/** Maximum share of all endpoints that is ejected at the same time. */
export const MAX_EJECTED_SHARE = 0.5;

/** Maximum number of requests that one daemon has in flight at one endpoint. */
export const ENDPOINT_CONCURRENCY = 8;
