import type { JobEntry, TaskEntry } from "./JobEntry.js";
import { listSteps } from "./listSteps.js";

const BITS_PER_BYTE = 8;

/**
 * Returns whether nothing else of a task has to be stored than that it is done.
 *
 * @param task - The task.
 * @returns False if it is not done, or has failures, crashes or runs whose end is unknown.
 */
export function isOnlyDone(task: TaskEntry): boolean {
    return task.done && task.failures === 0 && task.countedRuns.size === 0 && task.crashedRuns.size === 0
        && task.suspectedRuns.length === 0;
}

/**
 * Encodes those tasks of a job of which only has to be stored that they are done.
 *
 * @param entry - The job.
 * @returns One bit for each task up to the last such one, ordered by occurrence, step and index.
 */
export function encodeDoneTasks(entry: JobEntry): Uint8Array<ArrayBuffer> {
    const { offsets, taskCount } = getStepOffsets(entry);
    const positions = listSteps(entry).flatMap(({ tasks, occurrence, number }) =>
        tasks.filter(isOnlyDone).map(({ name }) => occurrence * taskCount + offsets[number]! + name.index)
    );
    const last = positions.reduce((highest, position) => Math.max(highest, position), -1);
    const bits = new Uint8Array(Math.ceil((last + 1) / BITS_PER_BYTE));
    for (const position of positions) {
        const byte = Math.floor(position / BITS_PER_BYTE);
        bits[byte] = bits[byte]! | (1 << (position % BITS_PER_BYTE));
    }
    return bits;
}

/**
 * Returns the names of the tasks that `encodeDoneTasks` has encoded.
 *
 * @param entry - The job.
 * @param bits - The bits; those beyond the job's tasks are ignored.
 * @returns The occurrence, the number of the step and the index of each task.
 */
export function decodeDoneTasks(
    entry: JobEntry,
    bits: Uint8Array,
): readonly { readonly occurrence: number; readonly step: number; readonly index: number }[] {
    const names = entry.job.steps.flatMap(({ taskCount }, step) =>
        Array.from({ length: taskCount }, (_, index) => ({ step, index }))
    );
    const times = entry.job.schedule?.times ?? 1;
    const decoded = [];
    for (
        let position = 0;
        position < Math.min(bits.length * BITS_PER_BYTE, names.length * times);
        position++
    ) {
        const byte = bits[Math.floor(position / BITS_PER_BYTE)]!;
        if ((byte & (1 << (position % BITS_PER_BYTE))) !== 0) {
            const occurrence = Math.floor(position / names.length);
            decoded.push({ occurrence, ...names[position % names.length]! });
        }
    }
    return decoded;
}

/** Returns the position of each step's first task among those of an occurrence, and the number of the latter. */
function getStepOffsets(
    { job }: JobEntry,
): { readonly offsets: readonly number[]; readonly taskCount: number } {
    const offsets: number[] = [];
    let taskCount = 0;
    for (const step of job.steps) {
        offsets.push(taskCount);
        taskCount += step.taskCount;
    }
    return { offsets, taskCount };
}
