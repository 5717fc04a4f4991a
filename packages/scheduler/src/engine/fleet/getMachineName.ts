import type { WorkerEntry } from "../../state/WorkerEntry.js";

/**
 * Returns the name under which the relative run time of a worker's machine is kept.
 *
 * @param worker - The worker.
 * @returns The name of the machine, or the worker's id if the machine is unknown.
 */
export function getMachineName({ machine, id }: Pick<WorkerEntry, "machine" | "id">): string {
    return machine === "" ? id : machine;
}
