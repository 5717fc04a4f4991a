import type { TaskName } from "../../ids.js";
import { getOrAddOccurrence } from "../../state/createJobEntry.js";
import type { TaskEntry } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Finds a task by the name that a worker reports, and adds its occurrence if that is not known yet.
 *
 * @param scheduler - The scheduler.
 * @param name - The task's name.
 * @returns The task, or `undefined` if no known job has it.
 */
export function findTask(scheduler: Scheduler, name: TaskName): TaskEntry | undefined {
    const entry = scheduler.jobs.get(name.job);
    if (entry === undefined) {
        return undefined;
    }
    const occurrenceCount = entry.job.schedule?.times ?? 1;
    return name.occurrence < occurrenceCount
        ? getOrAddOccurrence(entry, name.occurrence)[name.step]?.tasks[name.index]
        : undefined;
}
