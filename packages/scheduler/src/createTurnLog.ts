/** Remembers when the process ran. */
export type TurnLog = {
    /**
     * Notes that a turn of the event loop begins now; to be called at regular intervals.
     *
     * @returns Notes that the turn is complete; to be called once the input has been handled that waited at its begin.
     */
    readonly begin: () => () => void;
    /**
     * Returns a monotonic time at which the process ran and had no input waiting, in milliseconds. Input that is
     * handled now arrived later: also after a suspension, whose end runs overdue timers before it delivers signals.
     */
    readonly getLastTurnAt: () => number;
};

/**
 * Creates a log of the turns of the process's event loop.
 *
 * @param clock - Returns the time of a monotonic clock in milliseconds.
 * @returns The log, in which a turn that begins now is complete.
 *
 * @example
 * const turns = createTurnLog(() => performance.now());
 * setInterval(() => setImmediate(turns.begin()), 100).unref();
 */
export function createTurnLog(clock: () => number): TurnLog {
    let lastTurnAt = clock();
    return {
        begin: () => {
            const beganAt = clock();
            return () => {
                lastTurnAt = Math.max(lastTurnAt, beganAt);
            };
        },
        getLastTurnAt: () => lastTurnAt,
    };
}
