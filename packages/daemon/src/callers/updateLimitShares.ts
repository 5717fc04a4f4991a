import { createLimiter, createRetryBudget } from "@balsamward/admission";
import type { DaemonState } from "../DaemonState.js";

/**
 * Sets this daemon's share of every kind's limits: an even part for each registered daemon.
 *
 * Called when a configuration comes into force and when members change. A store outage leaves the
 * last known members, and so the last shares.
 *
 * @param state - The daemon.
 *
 * @example
 * updateLimitShares(state);
 */
export function updateLimitShares(state: DaemonState): void {
    const daemonCount = Math.max(1, state.membership.members.size);
    for (const [name, kind] of Object.entries(state.activeConfiguration?.document.kind ?? {})) {
        const limits = {
            ratePerSecond: kind.ratePerSecond / daemonCount,
            concurrency: Math.ceil(kind.concurrency / daemonCount),
        };
        const control = state.kindControls.get(name);
        control?.limiter.adjust(limits);
        state.kindControls.set(
            name,
            control ?? {
                limiter: createLimiter(limits, () => performance.now()),
                retryBudget: createRetryBudget(),
            },
        );
    }
}
