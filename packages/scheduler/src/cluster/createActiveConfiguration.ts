import type { Result } from "neverthrow";
import type { Logger } from "winston";
import { decodeSafely } from "../_lib/decodeSafely.js";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import type { Metrics } from "../Metrics.js";

const MS_PER_SECOND = 1_000;

/** A text that cannot be decoded as a configuration. */
export type ConfigurationError = { readonly kind: "bad-configuration"; readonly message: string };

/** Decodes the text of the operator's configuration. */
export type DecodeConfiguration = (text: Uint8Array) => Result<FleetConfiguration, ConfigurationError>;

/** Holds the configuration in force and never reverts to an older version. */
export type ActiveConfiguration = {
    readonly current: () => FleetConfiguration | undefined;
    /** Returns the encoded text of the configuration in force; empty if there is none. */
    readonly text: () => Uint8Array;
    /**
     * Decodes a configuration and puts it into force if its version is higher than the current one. A text that cannot
     * be decoded is ignored, and logged and counted when it is first seen; `source` names its origin in the log.
     */
    readonly activateIfNewer: (text: Uint8Array, source: string) => void;
    /** Records that the version in force was the newest at a monotonic time, in milliseconds. */
    readonly confirm: (at: number) => void;
    /** Returns the time since the version in force was last known to be the newest, in milliseconds. */
    readonly getAgeMs: () => number;
    /** Called after a configuration has come into force. */
    onChange: () => void;
};

/** Options of `createActiveConfiguration`. */
export type ActiveConfigurationOptions = {
    readonly log: Logger;
    readonly metrics: Metrics;
    /** Returns monotonic time in milliseconds. */
    readonly clock: () => number;
};

/**
 * Creates the holder of a daemon's configuration, with no configuration in force.
 *
 * @param decode - Decodes the text of a configuration.
 * @param options - Log, metrics and clock.
 * @returns The holder.
 */
export function createActiveConfiguration(
    decode: DecodeConfiguration,
    options: ActiveConfigurationOptions,
): ActiveConfiguration {
    let current: FleetConfiguration | undefined;
    let currentText: Uint8Array = new Uint8Array();
    let refusedText: Uint8Array | undefined;
    let confirmedAt = Number.NEGATIVE_INFINITY;
    const activeConfiguration: ActiveConfiguration = {
        current: () => current,
        text: () => currentText,
        activateIfNewer: (text, source) => {
            // A large text is not decoded again each time it is read.
            if (isSameText(text, refusedText) || (current !== undefined && isSameText(text, currentText))) {
                return;
            }
            const decoded = decodeSafely(() => decode(text));
            if (decoded === undefined || decoded.isErr()) {
                refusedText = text;
                options.metrics.ignoredRecords.inc({ record: "configuration" });
                options.log.error("A configuration cannot be decoded and is ignored.", {
                    source,
                    reason: decoded?.error.message ?? "The decoder fails unexpectedly.",
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
        confirm: at => {
            confirmedAt = Math.max(confirmedAt, at);
            const ageMs = options.clock() - confirmedAt;
            options.metrics.configurationConfirmed.set((Date.now() - ageMs) / MS_PER_SECOND);
        },
        getAgeMs: () => options.clock() - confirmedAt,
        onChange: () => {},
    };
    return activeConfiguration;
}

function isSameText(text: Uint8Array, known: Uint8Array | undefined): boolean {
    return known !== undefined && Buffer.compare(text, known) === 0;
}
