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
 * shareLimits(state);
 */
export function shareLimits(state: DaemonState): void {
    const members = Math.max(1, state.membership.members.size);
    for (const [name, kind] of Object.entries(state.configured?.document.kind ?? {})) {
        const limits = {
            ratePerSecond: kind.ratePerSecond / members,
            concurrency: Math.ceil(kind.concurrency / members),
        };
        const control = state.kinds.get(name);
        control?.limiter.setLimits(limits);
        state.kinds.set(
            name,
            control ?? {
                limiter: createLimiter(limits, () => performance.now()),
                retries: createRetryBudget(),
            },
        );
    }
}
