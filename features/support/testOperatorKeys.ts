import type { OperatorKeys } from "@balsamward/scheduler";

const EVACUATION_KEY_PREFIX = "operator/evacuate/";

/** The operator's keys in the stores of tests. */
export const TEST_OPERATOR_KEYS: OperatorKeys = {
    prefix: "operator/",
    configuration: "operator/configuration",
    decodeEvacuation: key =>
        key.startsWith(EVACUATION_KEY_PREFIX) ? key.slice(EVACUATION_KEY_PREFIX.length) : undefined,
};

/** Returns the key that requests the evacuation of a data centre. */
export function getEvacuationKey(dataCentre: string): string {
    return `${EVACUATION_KEY_PREFIX}${dataCentre}`;
}
