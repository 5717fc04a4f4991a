import type { TaskName } from "@balsamward/scheduler";

/** A running task of a fake worker. */
export type RunningTask = {
    readonly task: TaskName;
    readonly run: number;
    checkpoint: string;
    /** Progress of the run in percent. */
    percent: number;
    /** Tail latency of a serving task, or the processor time in use. */
    load: number;
    /** Ordered speed in percent of full speed. */
    pace: number;
    /** Monotonic time of the start, in milliseconds. */
    readonly startedAt: number;
};
