import type { Run } from "../../state/JobEntry.js";

/**
 * Returns whether the time that a run takes shows how long its task takes on its machine.
 *
 * @param run - The run.
 * @returns `false` for a run that this owner has not seen from its task's beginning, that was paced, uses only idle
 * CPU time or lasts until it is cancelled, that began on a cold worker, or that is slow since it is away from its data
 * or its gang is spread over several racks.
 */
export function isRepresentative(run: Run): boolean {
    const { spec } = run.task.step;
    return run.isConfirmed && run.coversWholeTask && !run.wasPaced && !spec.fillsIdle && !spec.lasting
        && run.confirmedAt >= run.worker.coldUntil && !isAwayFromData(run) && !isSpreadOverRacks(run);
}

function isAwayFromData({ task, worker }: Run): boolean {
    const { dataRack } = task.step.spec;
    return dataRack !== "" && worker.rack !== dataRack;
}

function isSpreadOverRacks({ task: { step }, worker }: Run): boolean {
    return step.spec.gang && step.spec.sameRack
        && step.tasks.some(task => task.runs.some(member => member.worker.rack !== worker.rack));
}
