import { ledgerPageKey } from "@balsamward/coordination";
import type { CellId, InspectCellResponse, Job, NodeId } from "@balsamward/schema";
import { LedgerPageSchema } from "@balsamward/schema";
import type { Reply } from "../callers/Reply.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { createSuccessReply } from "./createSuccessReply.js";
import { describeJob } from "./describeJob.js";

/**
 * Describes the daemon, the registered members and the owners of cells.
 *
 * @param state - The daemon's state.
 * @returns The reply.
 *
 * @example
 * showStatus(state);
 */
export function showStatus(state: DaemonState): Reply {
    const { members, owners } = state.membership;
    return createSuccessReply({
        node: state.node,
        data_centre: state.dataCentre,
        environment: state.environment,
        generation: Number(state.activeConfiguration?.configuration.generation ?? 0n),
        digest: state.activeConfiguration?.configuration.digest ?? "",
        watch_age_ms: Math.round(performance.now() - state.lastWatchEventAt),
        members: [...members.values()].map(member => ({
            node: member.node,
            data_centre: member.dataCentre,
            generation: Number(generationOf(state, member.node)),
            heard: member.node === state.node
                || state.membership.freshHeartbeatOf(member.node as NodeId) !== undefined,
        })),
        cells: listConfiguredCellIds(state).map(cell => ({
            cell,
            owner: owners.get(cell)?.node,
            epoch: owners.get(cell)?.revision,
        })),
        shortfalls: [...state.ownedCells.values()].flatMap(cell => cell.inspect().shortfalls)
            .map(({ customer, guarantee, gangs }) => ({ customer, guarantee, gangs })),
    });
}

/**
 * Describes the racks and workers of every cell and the jobs that hold their accelerators.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @returns The reply; cells whose owner is unreachable are listed as `missing`.
 *
 * @example
 * await showFleet(state, router);
 */
export async function showFleet(state: DaemonState, router: CellRouter): Promise<Reply> {
    const inspections = await inspectAllCells(state, router);
    return createSuccessReply({
        cells: inspections.reached.map(view => ({
            cell: view.cell,
            fragmentation: view.fragmentation,
            racks: view.racks.map(rack => ({
                rack: rack.rack,
                workers: rack.workers.map(({ worker, healthy, holders }) => ({ worker, healthy, holders })),
            })),
            shortfalls: view.shortfalls.map(({ customer, guarantee, gangs }) => ({
                customer,
                guarantee,
                gangs,
            })),
        })),
        missing: inspections.missing,
    });
}

/**
 * Reports the usage of every job, from the cells' states and from the ledger of ended jobs.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @returns The reply; cells whose owner is unreachable are listed as `missing`.
 *
 * @example
 * await showUsage(state, router);
 */
export async function showUsage(state: DaemonState, router: CellRouter): Promise<Reply> {
    const inspections = await inspectAllCells(state, router);
    const jobs = new Map<string, Job>();
    for (const cell of listConfiguredCellIds(state)) {
        for (const job of await readLedger(state, cell)) {
            jobs.set(job.id, job);
        }
    }
    for (const job of inspections.reached.flatMap(view => view.jobs)) {
        jobs.set(job.id, job);
    }
    return createSuccessReply({
        jobs: [...jobs.values()].map(describeJob),
        missing: inspections.missing,
    });
}

async function readLedger(state: DaemonState, cell: CellId): Promise<readonly Job[]> {
    const jobs: Job[] = [];
    for (let page = 0;; page++) {
        const read = await state.store.read(LedgerPageSchema, ledgerPageKey(state.environment, cell, page));
        if (read.isErr() || read.value === undefined) {
            return jobs;
        }
        jobs.push(...read.value.message.jobs);
    }
}

type Inspections = { readonly reached: readonly InspectCellResponse[]; readonly missing: readonly CellId[] };

async function inspectAllCells(state: DaemonState, router: CellRouter): Promise<Inspections> {
    const cells = listConfiguredCellIds(state);
    const inspections = await Promise.all(cells.map(cell => router.inspect(cell)));
    return {
        reached: inspections.filter(view => view !== undefined),
        missing: cells.filter((_, index) => inspections[index] === undefined),
    };
}

function listConfiguredCellIds(state: DaemonState): readonly CellId[] {
    return (state.activeConfiguration?.cells ?? []).map(cell => cell.id);
}

function generationOf(state: DaemonState, node: string): bigint {
    return node === state.node
        ? state.activeConfiguration?.configuration.generation ?? 0n
        : state.membership.freshHeartbeatOf(node as NodeId)?.configurationGeneration ?? 0n;
}
