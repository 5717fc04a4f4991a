import { assignTasks } from "../../placement/assignTasks.js";
import type { Assignment } from "../../placement/countFittingTasks.js";
import type { PlacementScope } from "../../placement/createUnplacedSteps.js";
import type { RunTimeLimit } from "../../placement/RunTimeLimit.js";
import type { StepEntry, TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";

/** What a step may use in addition when a preference of its placement is dropped. */
export type Concession = {
    readonly addedWorkers: readonly WorkerEntry[];
    /** The scope in which the step needs room from then on. */
    readonly scope: PlacementScope;
};

/** Options of `assignWithoutPreferences`. */
export type AssignWithoutPreferencesOptions = {
    /** Assignments that meet all preferences. */
    readonly preferred: readonly Assignment[];
    /** Workers that meet all preferences. */
    readonly preferredWorkers: readonly WorkerEntry[];
    /** The preferences in the order in which they are dropped, each together with those before it. */
    readonly concessions: readonly Concession[];
    /** How fast the workers have to be; without a limit, their speeds do not matter. */
    readonly limit: RunTimeLimit | undefined;
};

/**
 * Chooses workers for the tasks of a step, and drops preferences one after the other as long as tasks are left.
 *
 * @param step - The step.
 * @param waiting - Waiting tasks of the step.
 * @param options - What meets all preferences, and what is conceded.
 * @returns An assignment for each task that fits; for a gang, for all or for none.
 */
export function assignWithoutPreferences(
    step: StepEntry,
    waiting: readonly TaskEntry[],
    { preferred, preferredWorkers, concessions, limit }: AssignWithoutPreferencesOptions,
): readonly Assignment[] {
    let assignments = preferred;
    let workers = preferredWorkers;
    for (const { addedWorkers, scope } of concessions) {
        workers = [...workers, ...addedWorkers];
        const assigned = new Set(assignments.map(({ task }) => task));
        const remaining = waiting.filter(task => !assigned.has(task));
        if (remaining.length > 0) {
            const options = { workers: step.spec.gang ? workers : addedWorkers, scope, limit };
            assignments = [...assignments, ...assignTasks(step, remaining, options)];
        }
    }
    return assignments;
}
