import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";

/** Limits of a kind of work at one daemon. */
export type Limits = {
    readonly ratePerSecond: number;
    readonly concurrency: number;
};

/** Why a limiter refuses. */
export type LimitError = {
    readonly kind: "rate-limit" | "concurrency-limit";
    readonly message: string;
    /** Time in milliseconds after which another attempt may succeed. */
    readonly retryAfterMs: number;
};

/** Admits work up to a rate and a concurrency. */
export type Limiter = {
    readonly admit: () => Result<void, LimitError>;
    /** Ends one admission. */
    readonly release: () => void;
    /** Changes the limits; admissions in progress count on. */
    readonly setLimits: (limits: Limits) => void;
    readonly inFlight: () => number;
};

/**
 * Creates a limiter with a token bucket that holds one second of its rate.
 *
 * @param limits - The limits at this daemon.
 * @param clock - Returns a monotonic time in milliseconds.
 * @returns The limiter.
 *
 * @example
 * const limiter = createLimiter({ ratePerSecond: 10, concurrency: 2 }, () => performance.now());
 */
export function createLimiter(limits: Limits, clock: () => number): Limiter {
    let currentLimits = limits;
    let tokens = bucketCapacity(limits);
    let refilledAt = clock();
    let inFlight = 0;
    const refill = () => {
        const now = clock();
        tokens = Math.min(
            bucketCapacity(currentLimits),
            tokens + (now - refilledAt) * currentLimits.ratePerSecond / 1_000,
        );
        refilledAt = now;
    };
    return {
        admit: () => {
            refill();
            if (inFlight >= currentLimits.concurrency) {
                return err({
                    kind: "concurrency-limit",
                    message:
                        "The kind of work has its most requests in flight. Try again when some have ended.",
                    retryAfterMs: 1_000,
                });
            }
            if (tokens < 1) {
                return err({
                    kind: "rate-limit",
                    message: "The kind of work has reached its rate. Try again later.",
                    retryAfterMs: Math.ceil((1 - tokens) * 1_000 / currentLimits.ratePerSecond),
                });
            }
            tokens -= 1;
            inFlight += 1;
            return ok(undefined);
        },
        release: () => {
            inFlight -= 1;
        },
        setLimits: next => {
            refill();
            currentLimits = next;
        },
        inFlight: () => inFlight,
    };
}

function bucketCapacity(limits: Limits): number {
    return Math.max(1, limits.ratePerSecond);
}
