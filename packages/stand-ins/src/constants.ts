/** Maximum size of a stored value in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Number of changes that the store keeps for watches; older ones are compacted. */
export const MAX_CHANGE_LOG_ENTRIES = 4_096;

/** Interval in milliseconds between two sweeps for expired leases. */
export const LEASE_SWEEP_INTERVAL_MS = 100;

/** Maximum number of open connections to one endpoint. */
export const MAX_ENDPOINT_CONNECTIONS = 64;

/** Maximum number of requests that one endpoint processes concurrently. */
export const MAX_CONCURRENT_REQUESTS = 8;

/** Maximum size of a request body that a fake server reads, in bytes. */
export const MAX_BODY_BYTES = 2_000_000;

/** Address that every fake server listens on. */
export const LOOPBACK_ADDRESS = "127.0.0.1";
