import type { Configuration } from "@balsamward/schema";

/** The configuration in force on a daemon. */
export type ConfigurationTracker = {
    /** Returns the configuration in force, or `undefined` before the first one is known. */
    readonly current: () => Configuration | undefined;
    /**
     * Puts a configuration into force if its generation is larger than the one in force.
     *
     * @returns Whether it was put into force.
     */
    readonly applyIfNewer: (configuration: Configuration) => boolean;
};

/**
 * Creates a tracker whose generation only grows.
 *
 * @param onChange - Called with each configuration that comes into force.
 * @returns The tracker.
 *
 * @example
 * const tracker = createConfigurationTracker(configuration => apply(configuration));
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
