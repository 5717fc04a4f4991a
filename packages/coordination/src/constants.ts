/** Schema version of the values that this program writes to the store, and the newest one that it reads. */
export const SCHEMA_VERSION = 1;

/** Maximum size of a stored value in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Timeout of a store call in milliseconds. */
export const STORE_CALL_TIMEOUT_MS = 1_500;

/** Time in milliseconds that the store holds a watch call open while nothing changes. */
export const WATCH_WAIT_MS = 20_000;

/** Time in milliseconds that a watch call may take beyond its wait before it times out. */
export const WATCH_GRACE_MS = 2_000;

/**
 * Backoff in milliseconds after the first failed watch call. It doubles with each further failure, up to
 * `WATCH_RETRY_MAX_BACKOFF_MS`.
 */
export const WATCH_RETRY_BACKOFF_MS = 200;

/** Maximum backoff in milliseconds between failed watch calls. */
export const WATCH_RETRY_MAX_BACKOFF_MS = 3_000;

/** Maximum number of times that a write with an unclear result is read back to resolve it. */
export const MAX_UNCLEAR_WRITE_CHECKS = 4;

/** Backoff in milliseconds before the first read-back of an unclear write; doubled for each further one. */
export const UNCLEAR_WRITE_BACKOFF_MS = 100;

/** Time to live in milliseconds of a daemon's lease. */
export const LEASE_TTL_MS = 5_000;

/** Interval in milliseconds between a daemon's renewals of its lease. */
export const LEASE_RENEWAL_INTERVAL_MS = 1_500;

/** Time in milliseconds before the expiry of a lease from which its holder treats it as invalid. */
export const LEASE_MARGIN_MS = 500;

/** Maximum number of cells that a daemon owns, as a multiple of an even share of all cells. */
export const OWNERSHIP_LOAD_FACTOR = 1.25;

/** Minimum time in milliseconds for which the claim on an idempotency key is stored. */
export const CLAIM_RETENTION_MS = 86_400_000;

/** Time in milliseconds after which a daemon requests a new lease for its further claims. */
export const CLAIM_LEASE_ROTATION_INTERVAL_MS = 3_600_000;

/** Maximum number of earlier generations listed in a configuration's history. */
export const MAX_HISTORY_ENTRIES = 100;
