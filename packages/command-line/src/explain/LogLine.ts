/** One line of a daemon's log. */
export type LogLine = {
    /** Time of day in milliseconds since 1970, by the daemon's clock. */
    readonly atMs: number;
    readonly node: string;
    readonly message: string;
    /** The other fields, without the log's own. */
    readonly fields: Readonly<Record<string, unknown>>;
};
