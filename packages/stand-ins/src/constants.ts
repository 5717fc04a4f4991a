/** Largest value that the store accepts, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** Number of past changes that a watch can still ask for. */
export const MAX_CHANGE_LOG_ENTRIES = 4_096;

/** Interval in milliseconds at which lapsed leases are looked for. */
export const LEASE_SWEEP_INTERVAL_MS = 100;

/** Most connections of one endpoint. */
export const MAX_ENDPOINT_CONNECTIONS = 64;

/** Requests that one endpoint works on at a time. */
export const MAX_CONCURRENT_REQUESTS = 8;

/** Largest request body that a stand-in reads, in bytes. */
export const MAX_BODY_BYTES = 2_000_000;

/** Address on which every stand-in listens. */
export const LOOPBACK_ADDRESS = "127.0.0.1";
