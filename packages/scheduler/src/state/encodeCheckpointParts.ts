import type { StepProgress } from "@balsamward/schema/scheduling";
import { ProgressSchema, StepProgressSchema, TaskProgressSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import type { JobEntry, TaskEntry } from "./JobEntry.js";
import { listSteps } from "./listSteps.js";

/** Largest number of parts of one job. They are written in one transaction, which has to end within its timeout. */
export const MAX_PROGRESS_PARTS = 4;

/** Upper bound of the bytes that a task takes beside its checkpoint, with those of a step of its own. */
const BYTES_PER_TASK = 48;

/** Upper bound of the bytes of a part beside its tasks. */
const BYTES_PER_PART = 48;

/** Parts with checkpoints, and the number of tasks whose checkpoints have no room in them. */
export type CheckpointParts = {
    readonly parts: readonly Uint8Array[];
    readonly omittedCheckpoints: number;
};

/**
 * Encodes the checkpoints of a job's tasks in parts of a limited size.
 *
 * @param entry - The job.
 * @param maxBytes - Maximum size of a part, in bytes.
 * @returns The parts. A task whose checkpoint has no room starts from its beginning if the owner dies.
 */
export function encodeCheckpointParts(entry: JobEntry, maxBytes: number): CheckpointParts {
    const groups: TaskEntry[][] = [];
    let lastBytes = Number.POSITIVE_INFINITY;
    let omittedCheckpoints = 0;
    for (const task of listSteps(entry).flatMap(({ tasks }) => tasks).filter(hasCheckpoint)) {
        const bytes = Buffer.byteLength(task.checkpoint) + BYTES_PER_TASK;
        const fitsLast = lastBytes + bytes <= maxBytes;
        if (BYTES_PER_PART + bytes > maxBytes || (!fitsLast && groups.length === MAX_PROGRESS_PARTS)) {
            omittedCheckpoints += 1;
        }
        else if (fitsLast) {
            groups.at(-1)!.push(task);
            lastBytes += bytes;
        }
        else {
            groups.push([task]);
            lastBytes = BYTES_PER_PART + bytes;
        }
    }
    return { parts: groups.map(tasks => encodePart(entry, tasks)), omittedCheckpoints };
}

function hasCheckpoint({ done, checkpoint }: TaskEntry): boolean {
    return !done && checkpoint !== "";
}

function encodePart({ id, state }: JobEntry, tasks: readonly TaskEntry[]): Uint8Array {
    const steps = [...new Set(tasks.map(({ step }) => step))].map((step): StepProgress =>
        create(StepProgressSchema, {
            step: step.number,
            occurrence: step.occurrence,
            tasks: tasks.filter(task => task.step === step).map(({ name, checkpoint }) =>
                create(TaskProgressSchema, { index: name.index, checkpoint })
            ),
        })
    );
    return toBinary(ProgressSchema, create(ProgressSchema, { job: id, state, steps }));
}
