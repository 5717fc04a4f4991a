/** Interval in milliseconds of heartbeats between daemons. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** Time in milliseconds after which a call to a peer is given up. */
export const PEER_CALL_TIMEOUT_MS = 1_000;

/** Time in milliseconds without a heartbeat after which a peer counts as dead. */
export const PEER_SUSPICION_MS = 2_500;

/** Interval in milliseconds at which bytes on peer connections are counted. */
export const BYTE_COUNT_INTERVAL_MS = 1_000;

/** Time in milliseconds after which a forwarded job call is given up. */
export const FORWARD_TIMEOUT_MS = 5_000;

/** Interval in milliseconds at which the VM list is read. */
export const VM_LIST_POLL_INTERVAL_MS = 1_000;

/** Time in milliseconds after which a call to the VM list is given up. */
export const VM_LIST_TIMEOUT_MS = 800;

/** Interval in milliseconds at which a daemon compares the cells it owns with its assignment. */
export const OWNERSHIP_CHECK_INTERVAL_MS = 500;

/** Time in milliseconds for which members must be unchanged before cells move between live daemons. */
export const REBALANCE_DELAY_MS = 5_000;

/** Interval in milliseconds at which an owner renews the reservations at its workers. */
export const WORKER_RENEWAL_INTERVAL_MS = 1_000;

/** Time to live in milliseconds of the reservations at a worker. */
export const RESERVATION_TTL_MS = 10_000;

/** Time in milliseconds after which a call to a worker is given up. */
export const WORKER_CALL_TIMEOUT_MS = 1_500;

/** Interval in milliseconds at which an owner looks at its queue without being woken. */
export const SCHEDULING_INTERVAL_MS = 250;

/** Time in milliseconds added to a kind's checkpoint time before a task is stopped without one. */
export const CHECKPOINT_GRACE_MS = 500;

/** Number of times that a job may fail by itself before it ends as failed. */
export const MAX_JOB_FAILURES = 3;

/** Consecutive failed starts after which a worker is taken out. */
export const WORKER_EJECTION_FAILURES = 3;

/** Time in milliseconds for which a worker that fails its tasks is taken out; doubled each time. */
export const WORKER_EJECTION_INITIAL_MS = 5_000;

/** Longest time in milliseconds for which a worker is taken out. */
export const WORKER_EJECTION_MAX_MS = 600_000;

/** Calls to workers that an owner has in flight. */
export const MAX_CONCURRENT_WORKER_CALLS = 128;

/** Ended jobs in a cell's state from which a page of them is moved to the ledger. */
export const JOBS_PER_LEDGER_PAGE = 500;

/** Largest body of a caller's request, in bytes. */
export const MAX_REQUEST_BYTES = 1_000_000;

/** Largest answer of an endpoint, in bytes. */
export const MAX_ANSWER_BYTES = 4_000_000;

/** Largest answer that is kept for an idempotency key, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 65_536;

/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 256;

/** Connections of one daemon to one endpoint. */
export const ENDPOINT_CONNECTIONS = 9;

/** Shortest time in milliseconds that an attempt at an endpoint is given. */
export const MIN_ATTEMPT_MS = 20;

/** Attempts at endpoints for one request. */
export const MAX_ATTEMPTS = 4;

/** Pause in milliseconds before another look for a free slot. */
export const SLOT_POLL_INTERVAL_MS = 2;

/** Interval in milliseconds at which the answer to a claimed key is looked for. */
export const CLAIM_POLL_INTERVAL_MS = 100;

/** Time in milliseconds within which a stopping daemon ends its requests in flight. */
export const DRAIN_TIMEOUT_MS = 25_000;

/** Time in milliseconds between becoming not ready and taking no new connections. */
export const NOT_READY_NOTICE_MS = 2_000;

/** Time in milliseconds after the last new connection for which open ones may bring a request. */
export const IDLE_CONNECTION_GRACE_MS = 1_000;

/** Pause in milliseconds before a daemon tries again to register. */
export const REGISTRATION_RETRY_MS = 500;

/** Time in milliseconds after which a client has to have sent a whole request. */
export const CLIENT_REQUEST_TIMEOUT_MS = 10_000;

/** Good tokens whose customers are kept, so that their digests are not computed again. */
export const MAX_CACHED_TOKENS = 20_000;

/** Interval in milliseconds at which the delay of the event loop is sampled. */
export const EVENT_LOOP_SAMPLE_INTERVAL_MS = 500;
