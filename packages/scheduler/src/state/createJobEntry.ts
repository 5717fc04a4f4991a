import type { Job, Progress, Step } from "@balsamward/schema/scheduling";
import { JobState } from "@balsamward/schema/scheduling";
import type { JobId, QueueName, WorkerId } from "../ids.js";
import { decodeQueueTerms } from "./decodeQueueTerms.js";
import { decodeDoneTasks } from "./encodeDoneTasks.js";
import { isFinalState } from "./isFinalState.js";
import type { JobEntry, StepEntry, TaskEntry } from "./JobEntry.js";

/** Options of `createJobEntry`. */
export type CreateJobEntryOptions = {
    /** Stored progress of the job, with its store revision. */
    readonly progress?: { readonly message: Progress; readonly revision: number };
    /** Further stored values with checkpoints. */
    readonly parts?: readonly Progress[];
    /** Number of these values, with those that cannot be read. */
    readonly partCount?: number;
};

/**
 * Creates the entry of a stored job and restores its stored progress.
 *
 * @param job - The stored job.
 * @param revision - Store revision at which the job was written.
 * @param acceptedAt - Monotonic time at which the job was accepted, in milliseconds.
 * @param options - Stored progress, if there is any.
 * @returns The entry. A job without a schedule has a single occurrence, number 0.
 */
export function createJobEntry(
    job: Job,
    revision: number,
    acceptedAt: number,
    options: CreateJobEntryOptions = {},
): JobEntry {
    const stored = options.progress?.message;
    const state = stored === undefined ? JobState.QUEUED : stored.state;
    const entry: JobEntry = {
        id: job.id as JobId,
        job,
        queue: job.queue as QueueName,
        acceptedTerms: decodeQueueTerms(job.terms),
        lastTerms: decodeQueueTerms(stored?.terms),
        termsSource: "configured",
        revision,
        acceptedAt,
        occurrences: new Map(),
        state,
        durableState: state,
        cancelled: false,
        hasStarted: stored !== undefined,
        progressRevision: options.progress?.revision ?? 0,
        progressPartCount: options.partCount ?? 0,
        // An earlier build leaves the parts of a job that it ends; they are removed when the progress is stored again.
        hasUnstoredProgress: isFinalState(state) && (options.partCount ?? 0) > 0,
        changeCount: 0,
        storedChangeCount: 0,
        endedAtMs: stored?.endedAtMs ?? 0,
        endKnownAt: Number.POSITIVE_INFINITY,
    };
    if (job.schedule === undefined) {
        getOrAddOccurrence(entry, 0);
    }
    for (const storedStep of stored?.steps ?? []) {
        restoreStep(entry, storedStep);
    }
    for (const { occurrence, step, index } of decodeDoneTasks(entry, stored?.doneTasks ?? new Uint8Array())) {
        completeTask(getOrAddOccurrence(entry, occurrence)[step]!.tasks[index]!);
    }
    (options.parts ?? []).flatMap(({ steps }) => steps).forEach(step => restoreCheckpoints(entry, step));
    return entry;
}

/**
 * Returns the steps of a job's occurrence, and adds the occurrence if it is missing.
 *
 * @param entry - The job.
 * @param occurrence - Number of the occurrence, from 0.
 * @returns The steps of the occurrence.
 */
export function getOrAddOccurrence(entry: JobEntry, occurrence: number): readonly StepEntry[] {
    const existing = entry.occurrences.get(occurrence);
    if (existing !== undefined) {
        return existing;
    }
    const steps = entry.job.steps.map((spec, number): StepEntry => {
        const tasks: TaskEntry[] = [];
        const readyAt = isReadyOnAcceptance(entry, spec) ? entry.acceptedAt : undefined;
        const step: StepEntry = {
            job: entry,
            occurrence,
            number,
            spec,
            tasks,
            doneCount: 0,
            advice: undefined,
            readyAt,
            waitingSince: readyAt,
            isWaitLogged: false,
            reservation: undefined,
        };
        for (let index = 0; index < spec.taskCount; index++) {
            tasks.push(createTaskEntry(step, index));
        }
        return step;
    });
    entry.occurrences.set(occurrence, steps);
    return steps;
}

/** Such a step has waited since the job was accepted, whichever owner has known it since when. */
function isReadyOnAcceptance({ job }: JobEntry, { after }: Step): boolean {
    return job.schedule === undefined && after.length === 0;
}

function createTaskEntry(step: StepEntry, index: number): TaskEntry {
    return {
        name: { job: step.job.id, occurrence: step.occurrence, step: step.number, index },
        step,
        done: false,
        failures: 0,
        lastRun: 0,
        countedRuns: new Set(),
        crashedRuns: new Set(),
        crashEvidence: 0,
        crashAgeMs: 0,
        crashHoldMs: 0,
        crashedAt: Number.NEGATIVE_INFINITY,
        suspectedRuns: [],
        checkpoint: "",
        runs: [],
        avoidedWorkers: new Set(),
    };
}

function restoreStep(entry: JobEntry, storedStep: Progress["steps"][number]): void {
    const step = getOrAddOccurrence(entry, storedStep.occurrence)[storedStep.step];
    for (const storedTask of storedStep.tasks) {
        const task = step?.tasks[storedTask.index];
        if (step === undefined || task === undefined) {
            continue;
        }
        if (storedTask.done) {
            completeTask(task);
        }
        task.failures = storedTask.failures;
        task.lastRun = storedTask.lastRun;
        // A record without the list is of a daemon that keeps the highest number only.
        const countedRuns = storedTask.countedRuns.length > 0 || storedTask.countedRun === 0
            ? storedTask.countedRuns
            : [storedTask.countedRun];
        countedRuns.forEach(run => task.countedRuns.add(run));
        storedTask.crashedRuns.forEach(run => task.crashedRuns.add(run));
        task.crashEvidence = storedTask.crashEvidence;
        task.crashAgeMs = storedTask.crashAgeMs;
        task.crashHoldMs = storedTask.crashHoldMs;
        task.suspectedRuns = storedTask.suspectedRuns.map(({ run, worker, machine, bornMs, alone }) => ({
            run,
            worker: worker as WorkerId,
            machine,
            bornMs,
            alone,
        }));
        task.checkpoint = storedTask.checkpoint;
    }
}

function completeTask(task: TaskEntry): void {
    if (!task.done) {
        task.done = true;
        task.step.doneCount += 1;
    }
}

/** Restores the checkpoints of a part where the progress has none; an earlier build rewrites it, but not its parts. */
function restoreCheckpoints(entry: JobEntry, storedStep: Progress["steps"][number]): void {
    const step = entry.occurrences.get(storedStep.occurrence)?.[storedStep.step];
    for (const { index, checkpoint } of storedStep.tasks) {
        const task = step?.tasks[index];
        if (task !== undefined && task.checkpoint === "") {
            task.checkpoint = checkpoint;
        }
    }
}
