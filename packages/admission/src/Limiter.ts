import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";

/** Limits of one daemon for a kind of work. */
export type Limits = {
    /** Maximum number of admissions per second. */
    readonly ratePerSecond: number;
    /** Maximum number of admissions that are in flight. */
    readonly concurrency: number;
};

/** The reason why a limiter does not admit work. */
export type LimitError = {
    readonly kind: "rate-limit" | "concurrency-limit";
    readonly message: string;
    /** Time in milliseconds to wait before another attempt. */
    readonly retryAfterMs: number;
};

/** Limits the rate and the concurrency of work. */
export type Limiter = {
    /** Admits one piece of work, which must be released when it ends, or returns the limit that it exceeds. */
    readonly admit: () => Result<void, LimitError>;
    /** Releases one admission. */
    readonly release: () => void;
    /** Changes the limits. Work in flight counts towards the new concurrency. */
    readonly setLimits: (limits: Limits) => void;
    /** Returns the number of admissions that have not been released. */
    readonly inFlight: () => number;
};

/**
 * Creates a limiter with a concurrency limit and a token bucket.
 *
 * The bucket holds the tokens of one second, and at least one token.
 *
 * @param limits - The limits of this daemon.
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
                        "The kind of work has reached its concurrency limit. Try again when some work has ended.",
                    retryAfterMs: 1_000,
                });
            }
            if (tokens < 1) {
                return err({
                    kind: "rate-limit",
                    message: "The kind of work has reached its rate limit. Try again later.",
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
