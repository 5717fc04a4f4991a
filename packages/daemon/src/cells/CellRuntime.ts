import type { Environment, Store, StoreError } from "@balsamward/coordination";
import { cellStateKey, ledgerPageKey } from "@balsamward/coordination";
import type { Cell } from "@balsamward/placement";
import { createCell } from "@balsamward/placement";
import type { CellId, Job, JobId, WorkerId } from "@balsamward/schema";
import { CellStateSchema, JobStage, LedgerPageSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Logger } from "winston";
import type { ActiveConfiguration } from "../_lib/ActiveConfiguration.js";
import type { TaskGroup } from "../_lib/createTaskGroup.js";
import type { Vm } from "../_lib/Vm.js";
import { MIN_LEDGER_PAGE_JOBS } from "../constants.js";
import type { CellOwner, WorkerClient } from "../fleet/WorkerClient.js";
import type { Metrics } from "../Metrics.js";
import type { GroupCommit } from "./createGroupCommit.js";
import { createGroupCommit } from "./createGroupCommit.js";

/** Dependencies that the owner of a cell needs to run it. */
export type CellContext = {
    readonly id: CellId;
    readonly epoch: number;
    readonly environment: Environment;
    readonly store: Store;
    readonly workerClient: WorkerClient;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly getActiveConfiguration: () => ActiveConfiguration | undefined;
    /** Returns the VMs that run as workers of the cell. */
    readonly listWorkerVms: () => readonly Vm[];
    /** Returns the current time in milliseconds since the Unix epoch. */
    readonly clock: () => number;
    /** Resolves after the given number of milliseconds, or as soon as the signal aborts. */
    readonly pause: (ms: number, signal?: AbortSignal) => Promise<void>;
    /** Tells whether the daemon's store lease is certain to be still valid. */
    readonly isLeaseValid: () => boolean;
};

/** What the owner of a cell knows about one worker. */
export type WorkerRecord = {
    readonly id: WorkerId;
    address: string;
    healthy: boolean;
    /** Time at which the last confirmed renewal was sent, in milliseconds since the Unix epoch. */
    lastRenewedAt: number;
    /** Ids of reservations whose usage is stored, so that the worker can delete them. */
    settledReservations: string[];
    consecutiveFailures: number;
    ejections: number;
    /** Time until which the worker gets no tasks, in milliseconds since the Unix epoch. */
    ejectedUntil: number;
    leaving: boolean;
};

/** In-memory state of an owned cell. The owner's tasks change it only between awaits. */
export type CellRuntime = {
    readonly context: CellContext;
    readonly owner: CellOwner;
    readonly jobs: Map<JobId, Job>;
    readonly workers: Map<WorkerId, WorkerRecord>;
    /** Jobs that are still stopping although their accelerators are already allocated to another job. */
    readonly preemptedJobs: Set<JobId>;
    cell: Cell;
    /** Configuration generation that `cell` was built from. */
    generation: bigint;
    sealedPages: number;
    /** Store revision of the last state read or written. */
    revision: number;
    /** Whether a write has an unclear result that no later write has settled, so that it may still be carried out. */
    hasUnclearWrite: boolean;
    /** Whether another owner has taken over the cell with a higher epoch. */
    fenced: boolean;
    readonly commits: GroupCommit<StoreError>;
    readonly tasks: TaskGroup;
    /** Starts the next scheduling pass without waiting for its interval. */
    wakeScheduler: () => void;
};

/**
 * Loads the stored state of a cell for a new owner.
 *
 * Writes the state back under the new epoch immediately, so that every later write by a previous
 * owner fails with a conflict.
 *
 * @param context - The owner's dependencies.
 * @param tasks - The group that runs the background tasks of gangs.
 * @returns The cell's runtime, or the store error that prevents opening the cell.
 *
 * @example
 * const runtime = await loadCellRuntime(context, tasks);
 */
export async function loadCellRuntime(
    context: CellContext,
    tasks: TaskGroup,
): Promise<Result<CellRuntime, StoreError>> {
    const stored = await context.store.read(CellStateSchema, cellStateKey(context.environment, context.id));
    if (stored.isErr()) {
        return err(stored.error);
    }
    const storedState = stored.value?.message;
    const runtime: CellRuntime = {
        context,
        owner: { cell: context.id, epoch: context.epoch },
        jobs: new Map((storedState?.jobs ?? []).map(job => [job.id as JobId, job])),
        workers: new Map(),
        preemptedJobs: new Set(),
        cell: createCell([]),
        generation: 0n,
        sealedPages: storedState?.sealedPages ?? 0,
        revision: stored.value?.revision ?? 0,
        hasUnclearWrite: false,
        fenced: false,
        commits: createGroupCommit(() => writeCellState(runtime)),
        tasks,
        wakeScheduler: () => undefined,
    };
    const committed = await runtime.commits.commit();
    return committed.map(() => runtime);
}

async function writeCellState(runtime: CellRuntime): Promise<Result<void, StoreError>> {
    const { context } = runtime;
    if (runtime.fenced) {
        return err({
            kind: "conflict",
            message: "Another daemon owns the cell. Send the call to its current owner.",
            revision: 0,
        });
    }
    const movedJobs = await moveEndedJobsToLedger(runtime);
    const message = create(CellStateSchema, {
        cell: context.id,
        epoch: BigInt(context.epoch),
        jobs: [...runtime.jobs.values()].filter(job => !movedJobs.includes(job.id as JobId)),
        sealedPages: runtime.sealedPages + (movedJobs.length > 0 ? 1 : 0),
    });
    const key = cellStateKey(context.environment, context.id);
    const written = await context.store.write(CellStateSchema, {
        key,
        message,
        expectedRevision: runtime.revision,
    });
    if (written.isErr()) {
        runtime.fenced ||= written.error.kind === "conflict";
        runtime.hasUnclearWrite ||= written.error.kind === "unclear";
        return err(written.error);
    }
    runtime.revision = written.value;
    runtime.hasUnclearWrite = false;
    if (movedJobs.length > 0) {
        runtime.sealedPages += 1;
        movedJobs.forEach(job => runtime.jobs.delete(job));
    }
    return ok(undefined);
}

/**
 * Writes ended jobs to a new ledger page once there are enough, and returns the jobs written.
 *
 * Overwrites a page left by an earlier attempt whose state write failed: that page holds a subset of
 * the same jobs, because they are still in the cell's state.
 */
async function moveEndedJobsToLedger(runtime: CellRuntime): Promise<readonly JobId[]> {
    const endedJobs = [...runtime.jobs.values()].filter(job => job.stage === JobStage.ENDED);
    if (endedJobs.length < MIN_LEDGER_PAGE_JOBS) {
        return [];
    }
    const { context, sealedPages: page } = runtime;
    const key = ledgerPageKey(context.environment, context.id, page);
    const existingPage = await context.store.read(LedgerPageSchema, key);
    if (existingPage.isErr()) {
        return [];
    }
    const message = create(LedgerPageSchema, { cell: context.id, page, jobs: endedJobs });
    const expected = existingPage.value?.revision ?? 0;
    const written = await context.store.write(LedgerPageSchema, { key, message, expectedRevision: expected });
    return written.isOk() ? endedJobs.map(job => job.id as JobId) : [];
}
