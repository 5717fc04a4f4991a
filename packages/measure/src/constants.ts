/** Seed of every random choice in a measurement. */
export const SEED = 20_261_204;

/** Time in milliseconds for which a load runs before it is counted. */
export const WARM_UP_DURATION_MS = 1_500;

/** Time in milliseconds for which a load is counted. */
export const LOAD_DURATION_MS = 3_000;

/** Rounds of a comparison; policy and baseline take turns in each. */
export const COMPARISON_ROUNDS = 3;

/** Time in milliseconds within which a started process has to answer. */
export const START_TIMEOUT_MS = 15_000;

/** Time in milliseconds for which daemons at rest are watched. */
export const IDLE_PERIOD_MS = 8_000;

/** Token of operators in measurements. */
export const OPERATOR_TOKEN = "operators-token";
