import { ledgerPageKey } from "@balsamward/coordination";
import type { CellId, InspectCellResponse, Job, NodeId } from "@balsamward/schema";
import { LedgerPageSchema } from "@balsamward/schema";
import type { Reply } from "../callers/Reply.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { describeJob } from "./describeJob.js";
import { succeed } from "./succeed.js";

/**
 * Describes the daemon, its peers and the owners of cells.
 *
 * @param state - The daemon.
 * @returns The answer.
 *
 * @example
 * showStatus(state);
 */
export function showStatus(state: DaemonState): Reply {
    const { members, owners } = state.membership;
    return succeed({
        node: state.node,
        data_centre: state.dataCentre,
        environment: state.environment,
        generation: Number(state.configured?.configuration.generation ?? 0n),
        digest: state.configured?.configuration.digest ?? "",
        watch_age_ms: Math.round(performance.now() - state.watchedAt),
        members: [...members.values()].map(member => ({
            node: member.node,
            data_centre: member.dataCentre,
            generation: Number(generationOf(state, member.node)),
            heard: member.node === state.node
                || state.membership.heartbeatOf(member.node as NodeId) !== undefined,
        })),
        cells: listNominal(state).map(cell => ({
            cell,
            owner: owners.get(cell)?.node,
            epoch: owners.get(cell)?.revision,
        })),
        shortfalls: [...state.owned.values()].flatMap(cell => cell.inspect().shortfalls)
            .map(({ customer, guarantee, gangs }) => ({ customer, guarantee, gangs })),
    });
}

/**
 * Describes racks and what holds them.
 *
 * @param state - The daemon.
 * @param router - Reaches the owners of cells.
 * @returns The answer; cells whose owner cannot be reached are listed as missing.
 *
 * @example
 * await showFleet(state, router);
 */
export async function showFleet(state: DaemonState, router: CellRouter): Promise<Reply> {
    const views = await inspectAll(state, router);
    return succeed({
        cells: views.found.map(view => ({
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
        missing: views.missing,
    });
}

/**
 * Reports the usage of every job, from the cells and from the ledger.
 *
 * @param state - The daemon.
 * @param router - Reaches the owners of cells.
 * @returns The answer; cells whose usage is not included are listed as missing.
 *
 * @example
 * await showUsage(state, router);
 */
export async function showUsage(state: DaemonState, router: CellRouter): Promise<Reply> {
    const views = await inspectAll(state, router);
    const jobs = new Map<string, Job>();
    for (const cell of listNominal(state)) {
        for (const job of await readLedger(state, cell)) {
            jobs.set(job.id, job);
        }
    }
    for (const job of views.found.flatMap(view => view.jobs)) {
        jobs.set(job.id, job);
    }
    return succeed({ jobs: [...jobs.values()].map(describeJob), missing: views.missing });
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

type CellViews = { readonly found: readonly InspectCellResponse[]; readonly missing: readonly CellId[] };

async function inspectAll(state: DaemonState, router: CellRouter): Promise<CellViews> {
    const cells = listNominal(state);
    const views = await Promise.all(cells.map(cell => router.inspect(cell)));
    return {
        found: views.filter(view => view !== undefined),
        missing: cells.filter((_, index) => views[index] === undefined),
    };
}

function listNominal(state: DaemonState): readonly CellId[] {
    return (state.configured?.cells ?? []).map(cell => cell.id);
}

function generationOf(state: DaemonState, node: string): bigint {
    return node === state.node
        ? state.configured?.configuration.generation ?? 0n
        : state.membership.heartbeatOf(node as NodeId)?.configurationGeneration ?? 0n;
}
