/** Remembers when the process ran. */
export type TurnLog = {
    /** Notes that the process runs now; to be called at regular intervals. */
    readonly note: () => void;
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
 * @returns The log, in which the present turn is noted.
 *
 * @example
 * const turns = createTurnLog(() => performance.now());
 * setInterval(turns.note, 100).unref();
 */
export function createTurnLog(clock: () => number): TurnLog {
    let previousTurnAt = clock();
    let newestTurnAt = previousTurnAt;
    return {
        note: () => {
            previousTurnAt = newestTurnAt;
            newestTurnAt = clock();
        },
        getLastTurnAt: () => previousTurnAt,
    };
}
