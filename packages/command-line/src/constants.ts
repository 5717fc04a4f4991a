/** Time in milliseconds after which a call to a daemon is given up. */
export const REQUEST_TIMEOUT_MS = 60_000;

/** Interval in milliseconds at which '--wait' asks for a job. */
export const JOB_POLL_INTERVAL_MS = 250;

/** Settings file that is read when '--settings' is not given. */
export const DEFAULT_SETTINGS_FILE = "balsamward.ini";
