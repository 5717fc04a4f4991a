/** Most requests that wait in one daemon's queue. */
export const QUEUE_BOUND = 20_000;

/** Most requests of one caller that wait in one daemon's queue. */
export const CALLER_QUEUE_BOUND = 2_000;

/** Share of dispatches that each urgency receives while all have work, from low to urgent. */
export const URGENCY_WEIGHTS: readonly number[] = [1, 1, 2, 4, 8];

/** Retries that are allowed for each success, as a share. */
export const RETRY_SHARE = 0.1;

/** Retries that are allowed before any success. */
export const RETRY_RESERVE = 10;

/** Shortest pause in milliseconds before a retry. */
export const RETRY_PAUSE_MS = 5;

/** Longest pause in milliseconds before a retry. */
export const RETRY_PAUSE_MAX_MS = 200;

/** Consecutive failures after which an endpoint is ejected. */
export const EJECTION_FAILURES = 5;

/** Time in milliseconds of an endpoint's first ejection; doubled with each further one. */
export const EJECTION_MS = 2_000;

/** Longest time in milliseconds of an ejection. */
export const EJECTION_MAX_MS = 60_000;

/** Largest share of the endpoints that is ejected at one time. */
export const EJECTION_SHARE = 0.5;

/** Requests that an endpoint works on at a time. */
export const ENDPOINT_SLOTS = 8;
