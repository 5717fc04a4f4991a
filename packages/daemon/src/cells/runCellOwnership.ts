import { assignCells, ownerKey } from "@balsamward/coordination";
import { cellOfRack } from "@balsamward/placement";
import { pause } from "@balsamward/scheduler/pause";
import type { CellId, DataCentreId } from "@balsamward/schema";
import { OwnershipSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Vm } from "../_lib/Vm.js";
import { OWNERSHIP_CHECK_INTERVAL_MS, REBALANCE_DELAY_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellContext } from "./CellRuntime.js";
import { openCell } from "./openCell.js";

type RunningCell = { readonly stop: AbortController; readonly leaseId: string; readonly done: Promise<void> };

/**
 * Acquires and hands over cells according to their assignment until the signal aborts, then hands over all cells.
 *
 * @param state - The daemon's state.
 * @param signal - Ends the ownership of all cells when aborted.
 *
 * @example
 * await runCellOwnership(state, signal);
 */
export async function runCellOwnership(state: DaemonState, signal: AbortSignal): Promise<void> {
    const runningCells = new Map<CellId, RunningCell>();
    const openingCells = new Set<CellId>();
    while (!signal.aborted) {
        stopLostCells(state, runningCells);
        const cells = listCellsWithWorkers(state);
        const assignments = assignCells(cells, state.membership.assignableNodes());
        const isMembershipStable = performance.now() - state.membership.membersChangedAt > REBALANCE_DELAY_MS;
        for (const cell of cells) {
            const isAssigned = assignments.get(cell) === state.node;
            if (runningCells.has(cell) && !isAssigned && isMembershipStable && assignments.has(cell)) {
                state.backgroundTasks.start(() => handOverCell(state, runningCells, cell));
            }
            if (
                isAssigned && !runningCells.has(cell) && !openingCells.has(cell)
                && !state.membership.owners.has(cell)
            ) {
                openingCells.add(cell);
                state.backgroundTasks.start(() =>
                    acquireCell(state, runningCells, cell).finally(() => openingCells.delete(cell))
                );
            }
        }
        state.metrics.ownedCells.set(state.ownedCells.size);
        await pause(OWNERSHIP_CHECK_INTERVAL_MS, signal);
    }
    await Promise.all([...runningCells.keys()].map(cell => handOverCell(state, runningCells, cell)));
}

/** Stops cells whose ownership record ended with an earlier lease; another daemon may own them now. */
function stopLostCells(state: DaemonState, runningCells: Map<CellId, RunningCell>): void {
    for (const [cell, runningCell] of runningCells) {
        if (state.memberLease !== undefined && runningCell.leaseId !== state.memberLease.id) {
            state.log.warn("The ownership of a cell has ended with its lease; the daemon stops the cell.", {
                cell,
            });
            runningCells.delete(cell);
            state.ownedCells.delete(cell);
            runningCell.stop.abort();
        }
    }
}

async function acquireCell(
    state: DaemonState,
    runningCells: Map<CellId, RunningCell>,
    cell: CellId,
): Promise<void> {
    const { memberLease: lease } = state;
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
    const opened = await openCell(createCellContext(state, cell, registered.value));
    if (opened.isErr()) {
        state.log.error("A cell cannot be opened; the daemon gives up its ownership and tries again.", {
            cell,
            error: opened.error.message,
        });
        await state.store.transport.remove(ownerKey(state.environment, cell), registered.value);
        return;
    }
    const stop = new AbortController();
    const done = opened.value.run(stop.signal).then(() => {
        if (state.ownedCells.get(cell) === opened.value) {
            state.ownedCells.delete(cell);
            runningCells.delete(cell);
        }
    });
    state.ownedCells.set(cell, opened.value);
    runningCells.set(cell, { stop, leaseId: lease.id, done });
    state.backgroundTasks.start(() => done);
    state.log.info("The daemon owns a cell.", { cell, epoch: registered.value });
}

async function handOverCell(
    state: DaemonState,
    runningCells: Map<CellId, RunningCell>,
    cell: CellId,
): Promise<void> {
    const runningCell = runningCells.get(cell);
    const owned = state.ownedCells.get(cell);
    if (runningCell === undefined || owned === undefined) {
        return;
    }
    runningCells.delete(cell);
    state.ownedCells.delete(cell);
    runningCell.stop.abort();
    await runningCell.done;
    await state.store.transport.remove(ownerKey(state.environment, cell), owned.epoch);
    state.log.info("The daemon has handed over a cell.", { cell, epoch: owned.epoch });
}

function createCellContext(state: DaemonState, cell: CellId, epoch: number): CellContext {
    return {
        id: cell,
        epoch,
        environment: state.environment,
        store: state.store,
        workerClient: state.workerClient,
        log: state.log,
        metrics: state.metrics,
        getActiveConfiguration: () => state.activeConfiguration,
        listWorkerVms: () => state.vms.filter(vm => vm.role === "worker" && findCellOfVm(state, vm) === cell),
        clock: () => Date.now(),
        pause,
        isLeaseValid: () => state.memberLease?.isValid() ?? false,
    };
}

function listCellsWithWorkers(state: DaemonState): readonly CellId[] {
    const cells = new Set<CellId>();
    for (const vm of state.vms) {
        const cell = vm.role === "worker" ? findCellOfVm(state, vm) : undefined;
        if (cell !== undefined) {
            cells.add(cell);
        }
    }
    return [...cells];
}

function findCellOfVm(state: DaemonState, vm: Vm): CellId | undefined {
    const dataCentre = state.activeConfiguration?.document.dataCentre[vm.dataCentre];
    return dataCentre === undefined
        ? undefined
        : cellOfRack(vm.dataCentre as DataCentreId, vm.rack, dataCentre.racksPerCell);
}
