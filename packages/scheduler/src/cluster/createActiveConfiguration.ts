import type { Result } from "neverthrow";
import type { Logger } from "winston";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import type { Metrics } from "../Metrics.js";

/** Text that is not a configuration. */
export type ConfigurationError = { readonly kind: "bad-configuration"; readonly message: string };

/** Decodes the operator's text. */
export type DecodeConfiguration = (text: Uint8Array) => Result<FleetConfiguration, ConfigurationError>;

/** Keeps the newest configuration; it never goes back to an older one. */
export type ActiveConfiguration = {
    readonly current: () => FleetConfiguration | undefined;
    /** The text of the configuration in force. */
    readonly text: () => Uint8Array;
    /** Puts a configuration into force if it is newer than the one in force. */
    readonly activateIfNewer: (text: Uint8Array, source: string) => void;
    /** Called after a configuration came into force. */
    onChange: () => void;
};

/**
 * Creates the keeper of a daemon, without a configuration.
 *
 * @param decode - Decodes the operator's text.
 * @param options - Log and metrics.
 * @returns The keeper.
 */
export function createActiveConfiguration(
    decode: DecodeConfiguration,
    options: { readonly log: Logger; readonly metrics: Metrics },
): ActiveConfiguration {
    let current: FleetConfiguration | undefined;
    let currentText: Uint8Array = new Uint8Array();
    const activeConfiguration: ActiveConfiguration = {
        current: () => current,
        text: () => currentText,
        activateIfNewer: (text, source) => {
            const decoded = decode(text);
            if (decoded.isErr()) {
                options.log.error("A configuration cannot be used.", {
                    source,
                    reason: decoded.error.message,
                });
                return;
            }
            if (current !== undefined && decoded.value.version <= current.version) {
                return;
            }
            options.log.info("A configuration is in force.", {
                version: decoded.value.version,
                previous: current?.version,
                source,
            });
            current = decoded.value;
            currentText = text;
            options.metrics.configurationVersion.set(decoded.value.version);
            activeConfiguration.onChange();
        },
        onChange: () => {},
    };
    return activeConfiguration;
}
