/** Most requests that wait in one daemon's queue. */
export const MAX_QUEUED_REQUESTS = 20_000;

/** Most requests of one caller that wait in one daemon's queue. */
export const MAX_QUEUED_REQUESTS_PER_CALLER = 2_000;

/** Share of dispatches that each urgency receives while all have work, from low to urgent. */
export const URGENCY_WEIGHTS: readonly number[] = [1, 1, 2, 4, 8];

/** Retries that are allowed for each success, as a share. */
export const RETRY_TOKENS_PER_SUCCESS = 0.1;

/** Retries that are allowed before any success. */
export const MAX_RETRY_TOKENS = 10;

/** Shortest pause in milliseconds before a retry. */
export const RETRY_BASE_DELAY_MS = 5;

/** Longest pause in milliseconds before a retry. */
export const RETRY_MAX_DELAY_MS = 200;

/** Consecutive failures after which an endpoint is ejected. */
export const EJECTION_FAILURE_THRESHOLD = 5;

/** Time in milliseconds of an endpoint's first ejection; doubled with each further one. */
export const EJECTION_BASE_MS = 2_000;

/** Longest time in milliseconds of an ejection. */
export const EJECTION_MAX_MS = 60_000;

/** Largest share of the endpoints that is ejected at one time. */
export const MAX_EJECTED_SHARE = 0.5;

/** Requests that an endpoint works on at a time. */
export const ENDPOINT_CONCURRENCY = 8;
