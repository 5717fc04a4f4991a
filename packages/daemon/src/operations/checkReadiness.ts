import { WATCH_GRACE_MS, WATCH_WAIT_MS } from "@balsamward/coordination";
import type { DaemonState } from "../DaemonState.js";

/** Whether a daemon accepts requests, and the state of its configuration. */
export type Readiness = {
    readonly ready: boolean;
    readonly generation: number;
    /** Whether the store's watch or a peer's heartbeat confirmed the configuration recently. */
    readonly current: boolean;
    readonly message: string;
};

/**
 * Checks whether a daemon accepts requests.
 *
 * @param state - The daemon's state.
 * @returns The readiness; a daemon that cannot confirm its configuration stays ready, and the message says so.
 *
 * @example
 * checkReadiness(state).ready;
 */
export function checkReadiness(state: DaemonState): Readiness {
    const generation = Number(state.activeConfiguration?.configuration.generation ?? 0n);
    const isWatchCurrent = performance.now() - state.lastWatchEventAt < WATCH_WAIT_MS + WATCH_GRACE_MS;
    const current = generation > 0 && (isWatchCurrent || state.membership.freshHeartbeats().length > 0);
    if (state.isStopping) {
        return { ready: false, generation, current, message: "The daemon is stopping." };
    }
    if (generation === 0) {
        return {
            ready: false,
            generation,
            current,
            message: "The daemon has no configuration. Promote a document.",
        };
    }
    const message = current
        ? "The daemon accepts requests."
        : "The daemon accepts requests. Neither the store nor a peer confirms its configuration.";
    return { ready: true, generation, current, message };
}
