import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Returns whether no work may be sent to a worker since its data centre is evacuated. Runs on it go on, and it still
 * gets holds, stops and paces.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @returns True until the request to evacuate is removed.
 */
export function isEvacuated(
    { evacuatedDataCentres }: Pick<Scheduler, "evacuatedDataCentres">,
    { dataCentre }: Pick<WorkerEntry, "dataCentre">,
): boolean {
    return evacuatedDataCentres().has(dataCentre);
}
