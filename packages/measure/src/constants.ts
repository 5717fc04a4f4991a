/** Seed for random choices in measurements. */
export const SEED = 20_261_204;

/** Duration in milliseconds of the warm-up load, whose results are discarded. */
export const WARM_UP_DURATION_MS = 1_500;

/** Duration in milliseconds of a measured load. */
export const LOAD_DURATION_MS = 3_000;

/** Number of rounds of a comparison; each round runs the daemon and then the baseline. */
export const COMPARISON_ROUNDS = 3;

/** Timeout in milliseconds for a started process or an awaited condition. */
export const START_TIMEOUT_MS = 15_000;

/** Duration in milliseconds for which daemons without request load are observed. */
export const OBSERVATION_PERIOD_MS = 8_000;

/** Operator token used by measurements and the demo. */
export const OPERATOR_TOKEN = "operators-token";
