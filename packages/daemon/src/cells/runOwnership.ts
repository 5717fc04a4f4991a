import { assignCells, ownerKey } from "@balsamward/coordination";
import { cellOfRack } from "@balsamward/placement";
import { pause } from "@balsamward/scheduler/pause";
import type { CellId, DataCentreId } from "@balsamward/schema";
import { OwnershipSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Vm } from "../_lib/Vm.js";
import { OWNERSHIP_PASS_MS, REBALANCE_DELAY_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellContext } from "./CellBook.js";
import { openCell } from "./openCell.js";

type RunningCell = { readonly end: AbortController; readonly lease: string; readonly done: Promise<void> };

/**
 * Takes and gives up cells until the signal aborts; then hands over all cells.
 *
 * @param state - The daemon.
 * @param signal - Ends the ownership of all cells.
 *
 * @example
 * await runOwnership(state, signal);
 */
export async function runOwnership(state: DaemonState, signal: AbortSignal): Promise<void> {
    const running = new Map<CellId, RunningCell>();
    const opening = new Set<CellId>();
    while (!signal.aborted) {
        dropLostCells(state, running);
        const cells = listCells(state);
        const desired = assignCells(cells, state.membership.assignable());
        const stable = performance.now() - state.membership.changedAt > REBALANCE_DELAY_MS;
        for (const cell of cells) {
            const wanted = desired.get(cell) === state.node;
            if (running.has(cell) && !wanted && stable && desired.has(cell)) {
                state.tasks.start(() => giveUpCell(state, running, cell));
            }
            if (wanted && !running.has(cell) && !opening.has(cell) && !state.membership.owners.has(cell)) {
                opening.add(cell);
                state.tasks.start(() => takeCell(state, running, cell).finally(() => opening.delete(cell)));
            }
        }
        state.metrics.ownedCells.set(state.owned.size);
        await pause(OWNERSHIP_PASS_MS, signal);
    }
    await Promise.all([...running.keys()].map(cell => giveUpCell(state, running, cell)));
}

/** Ends cells whose registration ended with the lease; another daemon may own them now. */
function dropLostCells(state: DaemonState, running: Map<CellId, RunningCell>): void {
    for (const [cell, task] of running) {
        if (state.lease !== undefined && task.lease !== state.lease.id) {
            state.log.warn("A cell's ownership ended with its lease.", { cell });
            running.delete(cell);
            state.owned.delete(cell);
            task.end.abort();
        }
    }
}

async function takeCell(state: DaemonState, running: Map<CellId, RunningCell>, cell: CellId): Promise<void> {
    const { lease } = state;
    if (lease === undefined || !lease.isValid()) {
        return;
    }
    const registered = await state.store.write(OwnershipSchema, {
        key: ownerKey(state.environment, cell),
        message: create(OwnershipSchema, { cell, node: state.node }),
        expectedRevision: 0,
        lease: lease.id,
    });
    if (registered.isErr()) {
        return;
    }
    const opened = await openCell(contextOf(state, cell, registered.value));
    if (opened.isErr()) {
        state.log.error("A cell cannot be opened.", { cell, error: opened.error.message });
        await state.store.transport.remove(ownerKey(state.environment, cell), registered.value);
        return;
    }
    const end = new AbortController();
    const done = opened.value.run(end.signal).then(() => {
        if (state.owned.get(cell) === opened.value) {
            state.owned.delete(cell);
            running.delete(cell);
        }
    });
    state.owned.set(cell, opened.value);
    running.set(cell, { end, lease: lease.id, done });
    state.tasks.start(() => done);
    state.log.info("The daemon owns a cell.", { cell, epoch: registered.value });
}

async function giveUpCell(
    state: DaemonState,
    running: Map<CellId, RunningCell>,
    cell: CellId,
): Promise<void> {
    const task = running.get(cell);
    const owned = state.owned.get(cell);
    if (task === undefined || owned === undefined) {
        return;
    }
    running.delete(cell);
    state.owned.delete(cell);
    task.end.abort();
    await task.done;
    await state.store.transport.remove(ownerKey(state.environment, cell), owned.epoch);
    state.log.info("The daemon has handed over a cell.", { cell, epoch: owned.epoch });
}

function contextOf(state: DaemonState, cell: CellId, epoch: number): CellContext {
    return {
        id: cell,
        epoch,
        environment: state.environment,
        store: state.store,
        workers: state.workers,
        log: state.log,
        metrics: state.metrics,
        configured: () => state.configured,
        listWorkers: () => state.vms.filter(vm => vm.role === "worker" && cellOf(state, vm) === cell),
        clock: () => Date.now(),
        pause,
        isLeaseValid: () => state.lease?.isValid() ?? false,
    };
}

function listCells(state: DaemonState): readonly CellId[] {
    const cells = new Set<CellId>();
    for (const vm of state.vms) {
        const cell = vm.role === "worker" ? cellOf(state, vm) : undefined;
        if (cell !== undefined) {
            cells.add(cell);
        }
    }
    return [...cells];
}

function cellOf(state: DaemonState, vm: Vm): CellId | undefined {
    const dataCentre = state.configured?.document.dataCentre[vm.dataCentre];
    return dataCentre === undefined
        ? undefined
        : cellOfRack(vm.dataCentre as DataCentreId, vm.rack, dataCentre.racksPerCell);
}
