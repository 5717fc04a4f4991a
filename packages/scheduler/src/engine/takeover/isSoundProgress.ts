import type { Job, Progress } from "@balsamward/schema/scheduling";
import { JobState } from "@balsamward/schema/scheduling";

/** Largest stored count or number of a run, so that those counted from it can be stored again. */
const MAX_COUNT = 2 ** 31;

const BITS_PER_BYTE = 8;

/**
 * Returns whether the stored progress of a job can be continued.
 *
 * @param progress - The progress as it is stored.
 * @param job - The job.
 * @returns False if its state is unknown, a number is out of range, or the job has fewer occurrences or tasks than it
 * names.
 */
export function isSoundProgress(progress: Progress, job: Job): boolean {
    const times = job.schedule?.times ?? 1;
    const taskCount = job.steps.reduce((sum, step) => sum + step.taskCount, 0) * times;
    return JobState[progress.state] !== undefined && progress.state !== JobState.UNSPECIFIED
        && Number.isFinite(progress.endedAtMs)
        && progress.doneTasks.length <= Math.ceil(taskCount / BITS_PER_BYTE)
        && progress.steps.every(({ occurrence, tasks }) =>
            occurrence < times
            && tasks.every(({ failures, lastRun }) => failures <= MAX_COUNT && lastRun <= MAX_COUNT)
        );
}
