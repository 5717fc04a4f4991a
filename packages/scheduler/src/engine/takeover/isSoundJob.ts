import type { Job, Resources, Step } from "@balsamward/schema/scheduling";
import { parseJobId } from "../../ids.js";

/** Largest number of steps of a stored job. */
const MAX_STEPS = 10_000;

/** Largest number of tasks of a job, over all occurrences; the owner keeps each of them in memory. */
export const MAX_TASKS_OVER_ALL_OCCURRENCES = 200_000;

/**
 * Returns whether a stored job can be scheduled. The limits lie beyond those of a submission, which a job of another
 * build may exceed; without any, one record could use up the memory of each owner in turn.
 *
 * @param job - The job as it is stored.
 * @param id - The job's id according to its key.
 * @returns False for a job under another job's key, without tasks or with a number out of range.
 */
export function isSoundJob(job: Job, id: string): boolean {
    const { steps, schedule } = job;
    const times = schedule?.times ?? 1;
    return job.id === id && parseJobId(id).isOk()
        && steps.length > 0 && steps.length <= MAX_STEPS && steps.every(isSoundStep)
        && steps.reduce((sum, step) => sum + step.taskCount, 0) * times <= MAX_TASKS_OVER_ALL_OCCURRENCES
        && [job.acceptedAtMs, job.termRevision ?? 0, schedule?.firstRunMs ?? 0, schedule?.intervalMs ?? 0]
            .every(Number.isFinite);
}

function isSoundStep({ taskCount, request, estimatedMs, tailTargetMs, after }: Step, index: number): boolean {
    return taskCount > 0 && (request === undefined || isSoundRequest(request))
        && isAmount(estimatedMs) && isAmount(tailTargetMs)
        && after.every(step => step < index);
}

function isSoundRequest({ cpuMillis, memoryMb, accelerators }: Resources): boolean {
    return [cpuMillis, memoryMb, accelerators].every(isAmount);
}

function isAmount(value: number): boolean {
    return Number.isFinite(value) && value >= 0;
}
