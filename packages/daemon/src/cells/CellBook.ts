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
import type { Configured } from "../_lib/Configured.js";
import type { TaskGroup } from "../_lib/createTaskGroup.js";
import type { Vm } from "../_lib/Vm.js";
import { LEDGER_PAGE_JOBS } from "../constants.js";
import type { Commander, WorkerClient } from "../fleet/WorkerClient.js";
import type { Metrics } from "../Metrics.js";
import type { GroupCommit } from "./createGroupCommit.js";
import { createGroupCommit } from "./createGroupCommit.js";

/** What the owner of a cell works with. */
export type CellContext = {
    readonly id: CellId;
    readonly epoch: number;
    readonly environment: Environment;
    readonly store: Store;
    readonly workers: WorkerClient;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly configured: () => Configured | undefined;
    /** Returns the VMs of the cell's workers. */
    readonly listWorkers: () => readonly Vm[];
    /** Returns the time in milliseconds since the epoch. */
    readonly clock: () => number;
    /** Waits for a time in milliseconds, or until the signal aborts. */
    readonly pause: (ms: number, signal?: AbortSignal) => Promise<void>;
    /** Tells whether the daemon's store lease is certain not to have ended. */
    readonly isLeaseValid: () => boolean;
};

/** What an owner has seen of a worker. */
export type WorkerRecord = {
    readonly id: WorkerId;
    address: string;
    healthy: boolean;
    /** Time of the last renewal that the worker confirmed, in milliseconds since the epoch. */
    confirmedAt: number;
    /** Reservations whose end is durable, to be forgotten by the worker. */
    settled: string[];
    failures: number;
    ejections: number;
    ejectedUntil: number;
    leaving: boolean;
};

/** The state of an owned cell in memory; the owner's tasks change it between awaits only. */
export type CellBook = {
    readonly context: CellContext;
    readonly by: Commander;
    readonly jobs: Map<JobId, Job>;
    readonly workers: Map<WorkerId, WorkerRecord>;
    /** Jobs that still stop although their accelerators are already given to another job. */
    readonly displaced: Set<JobId>;
    cell: Cell;
    /** Generation that `cell` was built for. */
    generation: bigint;
    sealedPages: number;
    /** Revision of the durable state. */
    revision: number;
    /** Set once another owner has written or commanded with a higher epoch. */
    fenced: boolean;
    readonly commits: GroupCommit<StoreError>;
    readonly tasks: TaskGroup;
    /** Wakes the scheduling loop. */
    wake: () => void;
};

/**
 * Opens the durable state of a cell for a new owner.
 *
 * The state is written back under the new epoch at once, so that every later write of an earlier
 * owner conflicts.
 *
 * @param context - What the owner works with.
 * @param tasks - Runs the gangs' tasks.
 * @returns The book, or the store error that keeps the cell closed.
 *
 * @example
 * const book = await openCellBook(context, tasks);
 */
export async function openCellBook(
    context: CellContext,
    tasks: TaskGroup,
): Promise<Result<CellBook, StoreError>> {
    const stored = await context.store.read(CellStateSchema, cellStateKey(context.environment, context.id));
    if (stored.isErr()) {
        return err(stored.error);
    }
    const state = stored.value?.message;
    const book: CellBook = {
        context,
        by: { cell: context.id, epoch: context.epoch },
        jobs: new Map((state?.jobs ?? []).map(job => [job.id as JobId, job])),
        workers: new Map(),
        displaced: new Set(),
        cell: createCell([]),
        generation: 0n,
        sealedPages: state?.sealedPages ?? 0,
        revision: stored.value?.revision ?? 0,
        fenced: false,
        commits: createGroupCommit(() => writeState(book)),
        tasks,
        wake: () => undefined,
    };
    const claimed = await book.commits.commit();
    return claimed.map(() => book);
}

async function writeState(book: CellBook): Promise<Result<void, StoreError>> {
    const { context } = book;
    if (book.fenced) {
        return err({ kind: "conflict", message: "Another daemon owns the cell.", revision: 0 });
    }
    const sealed = await sealLedgerPage(book);
    const message = create(CellStateSchema, {
        cell: context.id,
        epoch: BigInt(context.epoch),
        jobs: [...book.jobs.values()].filter(job => !sealed.includes(job.id as JobId)),
        sealedPages: book.sealedPages + (sealed.length > 0 ? 1 : 0),
    });
    const key = cellStateKey(context.environment, context.id);
    const written = await context.store.write(CellStateSchema, {
        key,
        message,
        expectedRevision: book.revision,
    });
    if (written.isErr()) {
        book.fenced ||= written.error.kind === "conflict";
        return err(written.error);
    }
    book.revision = written.value;
    if (sealed.length > 0) {
        book.sealedPages += 1;
        sealed.forEach(job => book.jobs.delete(job));
    }
    return ok(undefined);
}

/**
 * Writes ended jobs to a page of the ledger once there are enough.
 *
 * A page that was written by an earlier attempt is written again: it holds a subset of the same jobs,
 * because the cell's state still carries them.
 */
async function sealLedgerPage(book: CellBook): Promise<readonly JobId[]> {
    const ended = [...book.jobs.values()].filter(job => job.stage === JobStage.ENDED);
    if (ended.length < LEDGER_PAGE_JOBS) {
        return [];
    }
    const { context, sealedPages: page } = book;
    const key = ledgerPageKey(context.environment, context.id, page);
    const earlier = await context.store.read(LedgerPageSchema, key);
    if (earlier.isErr()) {
        return [];
    }
    const message = create(LedgerPageSchema, { cell: context.id, page, jobs: ended });
    const expected = earlier.value?.revision ?? 0;
    const written = await context.store.write(LedgerPageSchema, { key, message, expectedRevision: expected });
    return written.isOk() ? ended.map(job => job.id as JobId) : [];
}
