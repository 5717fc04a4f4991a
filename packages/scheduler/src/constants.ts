/** Time to live of the owner's store lease in milliseconds. */
export const OWNER_LEASE_TTL_MS = 2_000;

/** Interval of the renewals of a store lease in milliseconds. */
export const LEASE_RENEWAL_INTERVAL_MS = 600;

/** Time to live of a member's store lease in milliseconds. */
export const MEMBER_LEASE_TTL_MS = 10_000;

/** Longest lease that the owner gives to what runs on a worker, in milliseconds. */
export const MAX_WORKER_LEASE_MS = 7_000;

/** Share by which a worker's clock may be slow. */
export const WORKER_CLOCK_DRIFT = 0.02;

/** Allowance for timers and connections when a worker's lease is judged to have ended, in milliseconds. */
export const LEASE_MARGIN_MS = 300;

/** Longest wait of a hold for an end in milliseconds. */
export const MAX_HOLD_WAIT_MS = 2_000;

/** Pause after a hold that failed, in milliseconds. */
export const HOLD_RETRY_MS = 250;

/** Pause before a hold is sent again while ends of the worker are not durable yet, in milliseconds. */
export const HOLD_DURABILITY_PAUSE_MS = 30;

/** Sends of a start whose answer is lost before the run is stopped. */
export const MAX_START_SENDS = 2;

/** Pause between two sends of a stop that was not answered, in milliseconds. */
export const STOP_RETRY_MS = 300;

/** Shortest time between two placement passes in milliseconds. */
export const MIN_PASS_INTERVAL_MS = 10;

/** Longest time between two placement passes in milliseconds. */
export const MAX_PASS_INTERVAL_MS = 250;

/** Interval at which the owner lists the workers, in milliseconds. */
export const WORKER_LIST_INTERVAL_MS = 500;

/** Longest wait of a watch in milliseconds. */
export const MAX_WATCH_WAIT_MS = 2_000;

/** Pause after a store call that failed in a background task, in milliseconds. */
export const STORE_RETRY_MS = 150;

/** Entries that one store transaction takes. */
export const MAX_TRANSACTION_ENTRIES = 32;

/** Time for which the owner waits for workers before it places around those that are silent, in milliseconds. */
export const RECONCILIATION_WAIT_MS = 400;

/** Time for which a worker gets no starts after it refused or failed one, in milliseconds, doubled with each fault. */
export const MIN_WORKER_PAUSE_MS = 250;

/** Longest time for which a faulty worker gets no starts, in milliseconds. */
export const MAX_WORKER_PAUSE_MS = 8_000;

/** Interval of heartbeats between daemons in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 300;

/** Deadline of a call to another daemon in milliseconds. */
export const PEER_CALL_TIMEOUT_MS = 600;

/** Deadline of a store call that is relayed through another daemon, in milliseconds. */
export const RELAY_TIMEOUT_MS = 900;

/** Time without an answer after which a peer is not asked for help, in milliseconds. */
export const PEER_SILENCE_LIMIT_MS = 1_500;

/** Failed connections in a row after which a process is taken to be dead. */
export const REFUSED_CONNECTIONS_LIMIT = 2;

/** Time after which a caller comes back to a refused call, in seconds. */
export const RETRY_AFTER_S = 1;
