/** A parsed line of a daemon's log. */
export type LogLine = {
    /** Unix time in milliseconds by the daemon's clock. */
    readonly atMs: number;
    readonly node: string;
    readonly message: string;
    /** All other fields except the log level. */
    readonly fields: Readonly<Record<string, unknown>>;
};
