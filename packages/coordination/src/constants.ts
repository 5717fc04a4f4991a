/** Version of the schemas of values in the store. */
export const SCHEMA_VERSION = 1;

/** Largest value that the store takes, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Time in milliseconds after which a store call without an answer is given up. */
export const STORE_CALL_TIMEOUT_MS = 1_500;

/** Time in milliseconds that one watch call waits for a change. */
export const WATCH_WAIT_MS = 20_000;

/** Time in milliseconds added to a watch call's wait before the watch is taken for silent. */
export const WATCH_GRACE_MS = 2_000;

/** Pause in milliseconds after a failed watch call; doubled up to `WATCH_RETRY_MAX_BACKOFF_MS`. */
export const WATCH_RETRY_BACKOFF_MS = 200;

/** Longest pause in milliseconds between failed watch calls. */
export const WATCH_RETRY_MAX_BACKOFF_MS = 3_000;

/** Number of times that an unclear write is resolved by reading back. */
export const MAX_UNCLEAR_WRITE_CHECKS = 4;

/** Pause in milliseconds between attempts to resolve an unclear write. */
export const UNCLEAR_WRITE_BACKOFF_MS = 100;

/** Time to live in milliseconds of a daemon's lease. */
export const LEASE_TTL_MS = 5_000;

/** Interval in milliseconds at which a daemon renews its lease. */
export const LEASE_RENEWAL_MS = 1_500;

/** Time in milliseconds before its end at which a holder stops relying on its lease. */
export const LEASE_MARGIN_MS = 500;

/** Ownership above an even share that a daemon takes before cells spill over, as a factor. */
export const OWNERSHIP_LOAD_FACTOR = 1.25;

/** Time in milliseconds for which an idempotency key is remembered. */
export const CLAIM_RETENTION_MS = 86_400_000;

/** Interval in milliseconds after which a daemon opens a new lease for claims. */
export const CLAIM_LEASE_ROTATION_INTERVAL_MS = 3_600_000;

/** Number of earlier generations that a configuration carries. */
export const MAX_HISTORY_ENTRIES = 100;
