import type { Job, Step } from "@balsamward/schema/scheduling";
import { JobState } from "@balsamward/schema/scheduling";
import type { JobId } from "../../ids.js";
import type { CreateJobEntryOptions } from "../../state/createJobEntry.js";
import { createJobEntry } from "../../state/createJobEntry.js";
import { isFinalState } from "../../state/isFinalState.js";
import type { JobEntry } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { endJob } from "./endJob.js";

/**
 * Registers a stored job with the scheduler; a job that is already registered stays unchanged, unless it has ended and
 * its record has been removed.
 *
 * A job of a newer term shows that this owner has been replaced, and ends its term: the successor may start the job.
 *
 * @param scheduler - The scheduler.
 * @param job - The job.
 * @param revision - Store revision of the job.
 * @param options - The job's stored progress, if there is any.
 * @returns The job's entry, or `undefined` if the job is of a newer term.
 */
export function registerJob(
    scheduler: Scheduler,
    job: Job,
    revision: number,
    options: CreateJobEntryOptions = {},
): JobEntry | undefined {
    const known = scheduler.jobs.get(job.id as JobId);
    if (known !== undefined && !isRemoved(known, revision)) {
        return known;
    }
    if ((job.termRevision ?? 0) > scheduler.ownership.revision) {
        scheduler.log.warn("A job is of a newer term.", { job: job.id, termRevision: job.termRevision });
        scheduler.ownership.resign("A job is of a newer term.");
        return undefined;
    }
    const ageMs = Math.max(0, scheduler.wallClock() - job.acceptedAtMs);
    const entry = createJobEntry(job, revision, scheduler.clock() - ageMs, options);
    scheduler.jobs.set(entry.id, entry);
    if (isFinalState(entry.state)) {
        entry.endKnownAt = scheduler.clock();
    }
    else {
        scheduler.activeJobs.add(entry);
    }
    scheduler.metrics.jobEvents.inc({ event: "taken" });
    scheduler.log.info("A job is taken over.", {
        job: entry.id,
        queue: entry.queue,
        customer: job.customer,
        revision,
        termRevision: job.termRevision,
        state: JobState[entry.state],
        steps: job.steps.map(formatStepShape),
        times: job.schedule?.times,
    });
    scheduler.requestPass();
    return entry;
}

/**
 * Returns whether the record of an ended job has been removed from the store, since a later one has its id: a job is
 * only stored under a key that is absent.
 */
function isRemoved(known: JobEntry, laterRevision: number): boolean {
    return laterRevision > known.revision && isFinalState(known.durableState);
}

/** Formats the shape of a step for the log, such as '4x52000m/8a~5000ms gang one-rack'. */
function formatStepShape(step: Step): string {
    const shape =
        `${step.taskCount}x${step.request?.cpuMillis}m/${step.request?.accelerators}a~${step.estimatedMs}ms`;
    const traits = [
        step.gang ? "gang" : "",
        step.sameRack ? "one-rack" : "",
        step.dataRack === "" ? "" : `data=${step.dataRack}`,
        step.requiredLabel === "" ? "" : `label=${step.requiredLabel}`,
        step.maxPerWorker > 0 ? `spread=${step.maxPerWorker}` : "",
        step.checkpoints ? "checkpoints" : "",
        step.copiesAllowed ? "copies" : "",
        step.lasting ? "lasting" : "",
        step.fillsIdle ? "fills" : "",
    ];
    return [shape, ...traits].filter(text => text !== "").join(" ");
}

/**
 * Cancels a job and stops its runs.
 *
 * @param scheduler - The scheduler.
 * @param id - The job; an unknown or ended one is ignored.
 */
export function cancelJob(scheduler: Scheduler, id: JobId): void {
    const entry = scheduler.jobs.get(id);
    if (entry !== undefined && !isFinalState(entry.state)) {
        entry.cancelled = true;
        endJob(scheduler, entry, JobState.CANCELLED, "cancelled-by-caller");
    }
}
