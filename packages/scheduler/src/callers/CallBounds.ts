/** What bounds the time that a call takes. */
export type CallBounds = {
    /** Monotonic time at which the caller stops waiting, in milliseconds. */
    readonly deadline: number;
    /** Aborts when the call must be answered at once by what is known; nothing is sent to the store from then on. */
    readonly signal: AbortSignal;
};
