import type { TaskEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { getMachineName } from "../fleet/getMachineName.js";
import type { Scheduler } from "../Scheduler.js";
import { getOutcomeUnit } from "./LostRuns.js";
import { CRASH_RATE_WINDOW_MS } from "./recordWorkerCrash.js";

/** Workers for a suspected task, the best first. */
export type SuspectWorkers = {
    /** Those on machines that have not crashed under the task in the last minute. */
    readonly fresh: readonly WorkerEntry[];
    /** The others. A further crash there would not show whether the task or the machine is the cause. */
    readonly used: readonly WorkerEntry[];
};

/**
 * Ranks workers for a task that is suspected of crashing its workers: by the number of their runs, and among equals
 * those first whose machines have not crashed in the last minute.
 *
 * @param scheduler - The scheduler.
 * @param task - The task, or a member of the gang.
 * @param workers - The workers.
 * @returns The workers.
 */
export function rankSuspectWorkers(
    { workerCrashes, clock }: Scheduler,
    task: TaskEntry,
    workers: readonly WorkerEntry[],
): SuspectWorkers {
    const unit = getOutcomeUnit(task);
    const recent = workerCrashes.filter(({ latestAt }) => clock() - latestAt < CRASH_RATE_WINDOW_MS);
    const unsound = new Set(recent.map(({ machine }) => machine));
    const used = new Set(
        recent.filter(({ units }) => units.includes(unit)).map(({ machine }) => machine),
    );
    const isUnsound = (worker: WorkerEntry): boolean => unsound.has(getMachineName(worker));
    const sorted = [...workers].sort((left, right) =>
        left.runs.size - right.runs.size || Number(isUnsound(left)) - Number(isUnsound(right))
    );
    return {
        fresh: sorted.filter(worker => !used.has(getMachineName(worker))),
        used: sorted.filter(worker => used.has(getMachineName(worker))),
    };
}
