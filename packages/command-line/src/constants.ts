/** Timeout in milliseconds for a request to a daemon. */
export const REQUEST_TIMEOUT_MS = 60_000;

/** Interval in milliseconds at which '--wait' polls the job. */
export const JOB_POLL_INTERVAL_MS = 250;

/** Settings file used if neither '--settings' nor BALSAMWARD_SETTINGS is given. */
export const DEFAULT_SETTINGS_FILE = "balsamward.ini";
