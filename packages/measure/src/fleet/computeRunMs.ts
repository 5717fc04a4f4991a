import type { JobId, StartOrder } from "@balsamward/scheduler";
import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";
import type { StepEntry } from "@balsamward/scheduler/state/JobEntry";
import type { WorkerEntry } from "@balsamward/scheduler/state/WorkerEntry";
import type { TraceJob, TraceStep } from "./generateTrace.js";

/** Factor by which a task takes longer away from its data, and a gang in one rack takes longer on several. */
const REMOTE_FACTOR = 3;

/** What the run times on an offline fleet depend on. */
export type RunTimes = {
    readonly scheduler: Pick<Scheduler, "jobs">;
    /** Jobs of the trace that were submitted. */
    readonly jobs: ReadonlyMap<JobId, TraceJob>;
    /** Returns the true relative run time of a worker. */
    readonly getRelativeRunTime: (worker: WorkerEntry) => number;
};

/**
 * Computes how long a run takes. A gang ends with its slowest member.
 *
 * @param runTimes - What the run times depend on.
 * @param order - The order to start the run.
 * @returns The run time in milliseconds.
 */
export function computeRunMs(
    { scheduler, jobs, getRelativeRunTime }: RunTimes,
    { task, run }: StartOrder,
): number {
    const traceStep = jobs.get(task.job)!.steps[task.step]!;
    const step = scheduler.jobs.get(task.job)!.occurrences.get(task.occurrence)![task.step]!;
    const runs = listRuns(step, task.index, run);
    const { gang, sameRack, dataRack } = step.spec;
    const racks = new Set(runs.map(({ worker }) => worker.rack));
    const isRemote = dataRack !== "" && !(racks.size === 1 && racks.has(dataRack))
        || gang && sameRack && racks.size > 1;
    const slowest = Math.max(
        ...runs.map(({ index, worker }) => getTaskFactor(traceStep, index, run) * getRelativeRunTime(worker)),
    );
    return traceStep.runMs * slowest * (isRemote ? REMOTE_FACTOR : 1);
}

/** Lists the tasks that end together with a task, with the workers on which they run. */
function listRuns(
    { spec, tasks }: StepEntry,
    index: number,
    number: number,
): readonly { readonly index: number; readonly worker: WorkerEntry }[] {
    return tasks.flatMap((task, taskIndex) =>
        spec.gang || taskIndex === index
            ? task.runs.filter(run => run.number === number).map(({ worker }) => ({
                index: taskIndex,
                worker,
            }))
            : []
    );
}

function getTaskFactor({ taskFactors }: TraceStep, index: number, run: number): number {
    const { first, later } = taskFactors[index]!;
    return run === 1 ? first : later;
}
