import type { StoreError } from "@balsamward/coordination";
import { findShortfalls } from "@balsamward/placement";
import type {
    CancelJobResponse,
    CellSummary,
    GetJobResponse,
    InspectCellResponse,
    Job,
    JobId,
    SubmitJobResponse,
    WorkerId,
} from "@balsamward/schema";
import { JobStage, Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { createTaskGroup } from "../_lib/createTaskGroup.js";
import { SCHEDULING_INTERVAL_MS, WORKER_RENEWAL_INTERVAL_MS } from "../constants.js";
import type { CellContext, CellRuntime } from "./CellRuntime.js";
import { loadCellRuntime } from "./CellRuntime.js";
import { cancelJob, getJob, submitJob } from "./handleCellCalls.js";
import { inspectCell } from "./inspectCell.js";
import { rebuildCell } from "./rebuildCell.js";
import { completeGang, isGangFinished, renewWorkers } from "./renewWorkers.js";
import { requeueGang } from "./requeueGang.js";
import { scheduleJobs } from "./scheduleJobs.js";
import { startMembers } from "./startMembers.js";
import { summarizeCell } from "./summarizeCell.js";

/** A cell that this daemon owns. */
export type OwnedCell = {
    readonly epoch: number;
    readonly submit: (job: Job) => Promise<SubmitJobResponse>;
    readonly get: (job: JobId) => GetJobResponse;
    readonly cancel: (job: JobId) => Promise<CancelJobResponse>;
    readonly inspect: () => InspectCellResponse;
    readonly summarize: () => CellSummary;
    /** Runs the cell until the signal aborts or another daemon takes it over. */
    readonly run: (signal: AbortSignal) => Promise<void>;
};

/**
 * Opens a cell for this daemon.
 *
 * Loads the stored state, asks every worker for its reservations, and reconciles the two before the
 * cell accepts calls.
 *
 * @param context - The owner's dependencies; its epoch is the store revision of the ownership record.
 * @returns The owned cell, or the store error that prevents opening it.
 *
 * @example
 * const owned = await openCell(context);
 */
export async function openCell(context: CellContext): Promise<Result<OwnedCell, StoreError>> {
    const tasks = createTaskGroup(error =>
        context.log.error("A background task of a cell fails.", { error: String(error) })
    );
    const loaded = await loadCellRuntime(context, tasks);
    if (loaded.isErr()) {
        return err(loaded.error);
    }
    const runtime = loaded.value;
    rebuildCell(runtime);
    const jobsInTransition = [...runtime.jobs.values()].filter(isInTransition);
    await renewWorkers(runtime);
    jobsInTransition.forEach(job => resumeGang(runtime, job));
    return ok({
        epoch: context.epoch,
        submit: job => submitJob(runtime, job),
        get: id => getJob(runtime, id),
        cancel: id => cancelJob(runtime, id),
        inspect: () => inspectCell(runtime),
        summarize: () => summarizeCell(runtime),
        run: signal => runCell(runtime, signal),
    });
}

function isInTransition(job: Job): boolean {
    return job.stage === JobStage.RESERVING || job.stage === JobStage.STARTING
        || job.stage === JobStage.STOPPING;
}

/** Resumes the transition that the previous owner left unfinished; a finished gang is not run again. */
function resumeGang(runtime: CellRuntime, job: Job): void {
    if (isGangFinished(job)) {
        runtime.tasks.start(() => completeGang(runtime, job));
    }
    else if (job.stage === JobStage.STARTING) {
        runtime.tasks.start(() => startMembers(runtime, job));
    }
    else {
        runtime.tasks.start(() => requeueGang(runtime, job, Reason.PREEMPTED));
    }
}

async function runCell(runtime: CellRuntime, signal: AbortSignal): Promise<void> {
    let renewal = Promise.resolve();
    let renewedAt = 0;
    while (!signal.aborted && !runtime.fenced) {
        rebuildCellIfChanged(runtime);
        if (runtime.context.clock() - renewedAt >= WORKER_RENEWAL_INTERVAL_MS) {
            renewedAt = runtime.context.clock();
            renewal = renewWorkers(runtime);
        }
        if (runtime.context.isLeaseValid()) {
            scheduleJobs(runtime);
        }
        runtime.context.metrics.guaranteeShortfalls.set(
            { cell: runtime.context.id },
            findShortfalls(runtime.cell).length,
        );
        const woken = new Promise<void>(resolve => {
            runtime.wakeScheduler = resolve;
        });
        await Promise.race([woken, runtime.context.pause(SCHEDULING_INTERVAL_MS, signal)]);
    }
    await renewal;
    await runtime.tasks.waitForAll();
    if (!runtime.fenced) {
        await runtime.commits.commit();
    }
    runtime.context.metrics.guaranteeShortfalls.remove({ cell: runtime.context.id });
}

function rebuildCellIfChanged(runtime: CellRuntime): void {
    const generation = runtime.context.getActiveConfiguration()?.configuration.generation ?? 0n;
    const vms = runtime.context.listWorkerVms();
    const changed = vms.length !== runtime.workers.size
        || vms.some(vm => {
            const record = runtime.workers.get(vm.id as WorkerId);
            return record === undefined || record.address !== vm.address
                || record.leaving !== (vm.state === "leaving");
        });
    if (changed || generation !== runtime.generation) {
        rebuildCell(runtime);
    }
}
