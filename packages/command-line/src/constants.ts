/** Time in milliseconds after which a call to a daemon is given up. */
export const CALL_TIMEOUT_MS = 60_000;

/** Interval in milliseconds at which '--wait' asks for a job. */
export const WAIT_POLL_MS = 250;

/** Settings file that is read when '--settings' is not given. */
export const DEFAULT_SETTINGS = "balsamward.ini";
