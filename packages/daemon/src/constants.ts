/** Mean interval in milliseconds between heartbeat exchanges with a peer. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** Timeout in milliseconds of a heartbeat exchange or configuration fetch from a peer. */
export const PEER_CALL_TIMEOUT_MS = 1_000;

/** Age in milliseconds of a peer's last heartbeat from which the peer is considered dead. */
export const PEER_HEARTBEAT_TIMEOUT_MS = 2_500;

/** Interval in milliseconds at which the bytes transferred on peer connections are counted. */
export const BYTE_COUNT_INTERVAL_MS = 1_000;

/** Timeout in milliseconds of a call that is forwarded to the owner of a cell. */
export const FORWARD_TIMEOUT_MS = 5_000;

/** Interval in milliseconds at which the platform's VM list is polled. */
export const VM_LIST_POLL_INTERVAL_MS = 1_000;

/** Timeout in milliseconds of a call that reads the VM list. */
export const VM_LIST_TIMEOUT_MS = 800;

/** Interval in milliseconds at which a daemon compares the cells it owns with the cells assigned to it. */
export const OWNERSHIP_CHECK_INTERVAL_MS = 500;

/** Time in milliseconds for which the members must not change before cells move between live daemons. */
export const REBALANCE_DELAY_MS = 5_000;

/** Interval in milliseconds at which the owner of a cell renews the reservations at its workers. */
export const WORKER_RENEWAL_INTERVAL_MS = 1_000;

/** Time in milliseconds after which a worker drops a reservation that is not renewed. */
export const RESERVATION_TTL_MS = 10_000;

/** Timeout in milliseconds of a call to a worker. */
export const WORKER_CALL_TIMEOUT_MS = 1_500;

/** Time in milliseconds after which a cell's queue is scheduled again if nothing triggers a pass earlier. */
export const SCHEDULING_INTERVAL_MS = 250;

/** Time in milliseconds beyond a kind's checkpoint time after which a task is stopped without a checkpoint. */
export const CHECKPOINT_GRACE_MS = 500;

/** Number of failures caused by a job itself after which it ends as failed. */
export const MAX_JOB_FAILURES = 3;

/** Number of consecutive failures to reserve, start or run a task after which a worker is ejected. */
export const WORKER_EJECTION_FAILURE_THRESHOLD = 3;

/** Duration in milliseconds of a worker's first ejection; doubles with each further ejection. */
export const WORKER_EJECTION_INITIAL_MS = 5_000;

/** Longest duration in milliseconds of a worker's ejection. */
export const WORKER_EJECTION_MAX_MS = 600_000;

/** Maximum number of connections, and therefore of concurrent calls, to one origin of workers. */
export const MAX_CONCURRENT_WORKER_CALLS = 128;

/** Minimum number of ended jobs in a cell's state at which they are moved to the ledger as one page. */
export const MIN_LEDGER_PAGE_JOBS = 500;

/** Maximum size in bytes of a request's body. */
export const MAX_REQUEST_BYTES = 1_000_000;

/** Maximum size in bytes of an endpoint's answer. */
export const MAX_ANSWER_BYTES = 4_000_000;

/** Maximum size in bytes of an answer that is stored for an idempotency key. */
export const MAX_STORED_ANSWER_BYTES = 65_536;

/** Maximum length of an idempotency key in characters. */
export const MAX_IDEMPOTENCY_KEY_LENGTH = 256;

/** Maximum number of connections from one daemon to one endpoint. */
export const ENDPOINT_CONNECTIONS = 9;

/** Minimum timeout in milliseconds of an attempt at an endpoint. */
export const MIN_ATTEMPT_TIMEOUT_MS = 20;

/** Number of attempts at endpoints for one request after which only a busy endpoint leads to another attempt. */
export const MAX_ATTEMPTS = 4;

/** Interval in milliseconds at which a request that waits for an endpoint checks for a free slot. */
export const SLOT_POLL_INTERVAL_MS = 2;

/** Interval in milliseconds at which a repeated request checks for the stored answer of the first attempt. */
export const CLAIM_POLL_INTERVAL_MS = 100;

/** Time in milliseconds that a stopping daemon waits for its requests in flight to end. */
export const DRAIN_TIMEOUT_MS = 25_000;

/** Time in milliseconds that a stopping daemon waits for its operators' requests to end. */
export const OPERATIONS_DRAIN_TIMEOUT_MS = 2_000;

/** Time in milliseconds within which the answers to the requests that a stopping daemon ends itself are sent. */
export const LAST_ANSWERS_TIMEOUT_MS = 500;

/** Interval in milliseconds at which a stopping daemon checks whether its requests in flight have ended. */
export const DRAIN_POLL_INTERVAL_MS = 10;

/** Time in milliseconds between reporting not ready and refusing new requests. */
export const NOT_READY_NOTICE_MS = 3_000;

/** Delay in milliseconds before a daemon retries its registration. */
export const REGISTRATION_RETRY_DELAY_MS = 500;

/** Time in milliseconds within which a client must send its complete request. */
export const CLIENT_REQUEST_TIMEOUT_MS = 10_000;

/** Maximum number of valid tokens whose customers are cached to avoid computing their digests again. */
export const MAX_CACHED_TOKENS = 20_000;

/** Sampling interval in milliseconds of the event loop delay metric. */
export const EVENT_LOOP_SAMPLE_INTERVAL_MS = 500;

/** Time in milliseconds for which a daemon that starts waits for an address that its predecessor still uses. */
export const ADDRESS_WAIT_TIMEOUT_MS = 40_000;
