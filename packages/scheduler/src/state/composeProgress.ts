import type { Progress, StepProgress } from "@balsamward/schema/scheduling";
import { ProgressSchema, StepProgressSchema, TaskProgressSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { encodeDoneTasks, isOnlyDone } from "./encodeDoneTasks.js";
import { encodeQueueTerms } from "./encodeQueueTerms.js";
import { isFinalState } from "./isFinalState.js";
import type { JobEntry, StepEntry, TaskEntry } from "./JobEntry.js";
import { listSteps } from "./listSteps.js";

/** Options of `composeProgress`. */
export type ComposeProgressOptions = {
    /** Whether the record leaves out the checkpoints. */
    readonly withoutCheckpoints?: boolean;
    /** Whether tasks of which nothing else matters than that they are done take one bit each. */
    readonly doneTasksAsBits?: boolean;
};

/**
 * Composes the record of a job's progress that is stored.
 *
 * @param entry - The job.
 * @param options - What makes the record smaller; by default, it is one that all builds read whole.
 * @returns The progress, without tasks if the job has ended.
 */
export function composeProgress(entry: JobEntry, options: ComposeProgressOptions = {}): Progress {
    const hasTasks = !isFinalState(entry.state);
    const steps = hasTasks
        ? listSteps(entry).map(step => composeStep(step, options)).filter(step => step.tasks.length > 0)
        : [];
    return create(ProgressSchema, {
        job: entry.id,
        state: entry.state,
        steps,
        endedAtMs: entry.endedAtMs,
        ...(entry.lastTerms === undefined ? {} : { terms: encodeQueueTerms(entry.lastTerms) }),
        ...(hasTasks && options.doneTasksAsBits === true ? { doneTasks: encodeDoneTasks(entry) } : {}),
    });
}

function composeStep(
    step: StepEntry,
    { withoutCheckpoints = false, doneTasksAsBits = false }: ComposeProgressOptions,
): StepProgress {
    const tasks = step.tasks
        .filter(task => hasProgress(task) && !(doneTasksAsBits && isOnlyDone(task)))
        .map(task =>
            create(TaskProgressSchema, {
                index: task.name.index,
                done: task.done,
                failures: task.failures,
                lastRun: task.lastRun,
                countedRun: Math.max(0, ...task.countedRuns),
                countedRuns: [...task.countedRuns],
                crashedRuns: [...task.crashedRuns],
                crashEvidence: task.crashEvidence,
                crashAgeMs: task.crashAgeMs,
                crashHoldMs: task.crashHoldMs,
                suspectedRuns: [...task.suspectedRuns],
                checkpoint: task.done || withoutCheckpoints ? "" : task.checkpoint,
            })
        );
    return create(StepProgressSchema, { step: step.number, occurrence: step.occurrence, tasks });
}

/**
 * Returns whether a task has progress; a gang's member also has that of another member, before any run of its own.
 *
 * @param task - The task.
 * @returns False if nothing of the task has to be stored.
 */
export function hasProgress(task: TaskEntry): boolean {
    return task.lastRun > 0 || task.countedRuns.size > 0 || task.crashedRuns.size > 0
        || task.done || task.checkpoint !== "";
}
