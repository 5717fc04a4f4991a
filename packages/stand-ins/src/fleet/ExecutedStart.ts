import type { TaskName } from "@balsamward/scheduler";

/** A start that a fake worker has executed. */
export type ExecutedStart = {
    readonly task: TaskName;
    readonly run: number;
    readonly spec: string;
    readonly checkpoint: string;
    readonly ticket: string;
};
