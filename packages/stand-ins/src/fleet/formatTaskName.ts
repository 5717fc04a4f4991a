import type { TaskName } from "@balsamward/scheduler";

/**
 * Formats the name of a task as text.
 *
 * @param name - The name.
 * @returns Job, occurrence, step and index, separated by dots.
 */
export function formatTaskName({ job, occurrence, step, index }: TaskName): string {
    return `${job}.${occurrence}.${step}.${index}`;
}
