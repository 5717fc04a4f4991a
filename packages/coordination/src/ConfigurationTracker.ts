import type { Configuration } from "@balsamward/schema";

/** Holds the configuration in force on a daemon. */
export type ConfigurationTracker = {
    /** Returns the configuration in force, or `undefined` before the first one is applied. */
    readonly current: () => Configuration | undefined;
    /**
     * Puts a configuration into force if its generation is greater than that of the one in force.
     *
     * @returns Whether the configuration was put into force.
     */
    readonly applyIfNewer: (configuration: Configuration) => boolean;
};

/**
 * Creates a tracker that accepts only increasing generations.
 *
 * Configurations may arrive out of order, since both the store and other daemons send them.
 *
 * @param onChange - Called with each configuration that is put into force.
 * @returns The tracker.
 *
 * @example
 * const tracker = createConfigurationTracker(configuration => reload(configuration));
 */
export function createConfigurationTracker(
    onChange: (configuration: Configuration) => void,
): ConfigurationTracker {
    let current: Configuration | undefined;
    return {
        current: () => current,
        applyIfNewer: configuration => {
            if (current !== undefined && configuration.generation <= current.generation) {
                return false;
            }
            current = configuration;
            onChange(configuration);
            return true;
        },
    };
}
