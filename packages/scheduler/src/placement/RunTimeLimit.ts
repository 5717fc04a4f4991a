/** How fast the workers of a step have to be. */
export type RunTimeLimit = {
    /** Largest relative run time of a worker with which the step still ends in time; infinity if any is fast enough. */
    readonly maxRelativeRunTime: number;
    /** Monotonic time in milliseconds, which decides whether a worker is still slow after its start. */
    readonly now: number;
};
