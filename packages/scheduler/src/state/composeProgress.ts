import type { Progress, StepProgress } from "@balsamward/schema/scheduling";
import { ProgressSchema, StepProgressSchema, TaskProgressSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { encodeQueueTerms } from "./encodeQueueTerms.js";
import { isFinalState } from "./isFinalState.js";
import type { JobEntry, StepEntry, TaskEntry } from "./JobEntry.js";
import { listSteps } from "./listSteps.js";

/**
 * Composes the record of a job's progress that is stored.
 *
 * @param entry - The job.
 * @returns The progress, without steps if the job has ended.
 */
export function composeProgress(entry: JobEntry): Progress {
    const steps = isFinalState(entry.state)
        ? []
        : listSteps(entry).map(composeStep).filter(step => step.tasks.length > 0);
    return create(ProgressSchema, {
        job: entry.id,
        state: entry.state,
        steps,
        endedAtMs: entry.endedAtMs,
        ...(entry.lastTerms === undefined ? {} : { terms: encodeQueueTerms(entry.lastTerms) }),
    });
}

function composeStep(step: StepEntry): StepProgress {
    const tasks = step.tasks
        .filter(hasProgress)
        .map(task =>
            create(TaskProgressSchema, {
                index: task.name.index,
                done: task.done,
                failures: task.failures,
                lastRun: task.lastRun,
                countedRun: Math.max(0, ...task.countedRuns),
                countedRuns: [...task.countedRuns],
                crashedRuns: [...task.crashedRuns],
                crashAgeMs: task.crashAgeMs,
                suspectedRuns: [...task.suspectedRuns],
                checkpoint: task.done ? "" : task.checkpoint,
            })
        );
    return create(StepProgressSchema, { step: step.number, occurrence: step.occurrence, tasks });
}

/** Returns whether a task has progress; a gang's member also has that of another member, before any run of its own. */
function hasProgress(task: TaskEntry): boolean {
    return task.lastRun > 0 || task.countedRuns.size > 0 || task.crashedRuns.size > 0
        || task.done || task.checkpoint !== "";
}
