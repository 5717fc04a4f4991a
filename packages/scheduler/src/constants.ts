/** Time to live of the owner's store lease, in milliseconds. */
export const OWNER_LEASE_TTL_MS = 2_000;

/** Interval between renewals of a store lease, in milliseconds. */
export const LEASE_RENEWAL_INTERVAL_MS = 600;

/** Time to live of a member's store lease, in milliseconds. */
export const MEMBER_LEASE_TTL_MS = 10_000;

/** Maximum lease that the owner grants to the runs on a worker, in milliseconds. */
export const MAX_WORKER_LEASE_MS = 7_000;

/** Maximum fraction by which a worker's clock may run slow. */
export const WORKER_CLOCK_DRIFT = 0.02;

/** Safety margin for delays of timers and connections before a worker's lease counts as expired, in milliseconds. */
export const LEASE_MARGIN_MS = 300;

/** Maximum time for which a hold call waits for a run to end, in milliseconds. */
export const MAX_HOLD_WAIT_MS = 2_000;

/**
 * Time after which an idle worker's clock is read again, in milliseconds. The older the reading, the shorter the first
 * lease of a run.
 */
export const CLOCK_REFRESH_INTERVAL_MS = 100_000;

/** Pause after a failed hold call, in milliseconds. */
export const HOLD_RETRY_MS = 250;

/** Maximum pause before the next hold call while ended runs of the worker are not stored yet, in milliseconds. */
export const HOLD_DURABILITY_PAUSE_MS = 30;

/** Number of times that a start order is sent without a clear answer before the run is stopped. */
export const MAX_START_SENDS = 2;

/** Pause before a stop order that was not answered is sent again, in milliseconds. */
export const STOP_RETRY_MS = 300;

/** Time within which a worker reports the end of a gang's member after that of another member, in milliseconds. */
export const GANG_END_TIMEOUT_MS = 500;

/** Minimum time between two placement passes, in milliseconds. */
export const MIN_PASS_INTERVAL_MS = 10;

/** Maximum time between two placement passes, in milliseconds. */
export const MAX_PASS_INTERVAL_MS = 250;

/** Interval at which the owner lists the workers, in milliseconds. */
export const WORKER_LIST_INTERVAL_MS = 500;

/** Maximum time for which a watch call waits for events, in milliseconds. */
export const MAX_WATCH_WAIT_MS = 2_000;

/** Pause of a background task after a failed store call, in milliseconds. */
export const STORE_RETRY_MS = 150;

/** Maximum number of entries in one store transaction. */
export const MAX_TRANSACTION_ENTRIES = 32;

/** Time for which a new owner waits for unresponsive workers before it places tasks on the others, in milliseconds. */
export const RECONCILIATION_WAIT_MS = 400;

/** Time without starts for a worker that refused or failed one, in milliseconds; doubles with each further fault. */
export const MIN_WORKER_PAUSE_MS = 250;

/** Maximum time for which a faulty worker gets no starts, in milliseconds. */
export const MAX_WORKER_PAUSE_MS = 8_000;

/** Base interval of heartbeats between daemons, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 300;

/** Timeout of a call to another daemon, in milliseconds. */
export const PEER_CALL_TIMEOUT_MS = 600;

/** Timeout of a store call that is relayed through another daemon, in milliseconds. */
export const RELAY_TIMEOUT_MS = 900;

/** Time since a peer was last heard from after which it counts as unreachable, in milliseconds. */
export const PEER_SILENCE_LIMIT_MS = 1_500;

/** Time without a response to its watch of jobs after which an owner may miss jobs, in milliseconds. */
export const MAX_JOBS_AGE_MS = MAX_WATCH_WAIT_MS + RELAY_TIMEOUT_MS;

/** Longest time for which the counts of pending jobs that the owner has sent are shown to callers, in milliseconds. */
export const MAX_QUEUE_DEPTHS_AGE_MS = 2_000;

/**
 * Longest time since a configuration was known to be the newest for which it refuses calls for good, in milliseconds. A
 * change has to be in force within this time.
 */
export const MAX_CONFIRMED_CONFIGURATION_AGE_MS = 2_000;

/** Number of refused connections in a row after which a daemon's process counts as dead. */
export const REFUSED_CONNECTIONS_LIMIT = 2;

/** Time after which a caller should retry a temporarily refused call, in seconds. */
export const RETRY_AFTER_S = 1;
