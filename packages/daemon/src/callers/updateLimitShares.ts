import { createLimiter, createRetryBudget } from "@balsamward/admission";
import type { DaemonState } from "../DaemonState.js";

/**
 * Sets this daemon's share of the limits of every kind by dividing them evenly among the registered daemons.
 *
 * Called when a configuration takes effect and when the members change. During a store outage the last
 * known members, and therefore the last shares, stay in use.
 *
 * @param state - The daemon's state.
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
        control?.limiter.setLimits(limits);
        state.kindControls.set(
            name,
            control ?? {
                limiter: createLimiter(limits, () => performance.now()),
                retryBudget: createRetryBudget(),
            },
        );
    }
}
