import type { HeldLease } from "@balsamward/coordination";
import { holdLease } from "@balsamward/coordination";
import { pause } from "@balsamward/scheduler/pause";
import type { DaemonSettings } from "@balsamward/schema";
import type { Logger } from "winston";
import { startCallersListener } from "./callers/startCallersListener.js";
import { updateLimitShares } from "./callers/updateLimitShares.js";
import { runCellOwnership } from "./cells/runCellOwnership.js";
import { DRAIN_TIMEOUT_MS, LAST_ANSWERS_TIMEOUT_MS, NOT_READY_NOTICE_MS } from "./constants.js";
import { createDaemonState } from "./createDaemonState.js";
import type { DaemonState } from "./DaemonState.js";
import { pollVmList } from "./fleet/pollVmList.js";
import { updateVms } from "./fleet/updateVms.js";
import { startOperationsListener } from "./operations/startOperationsListener.js";
import { createCellRouter } from "./peers/CellRouter.js";
import { createPeerConnections } from "./peers/createPeerConnections.js";
import type { PeerClients } from "./peers/maintainPeerConnection.js";
import { startPeerListener } from "./peers/startPeerListener.js";
import { watchControlKeys } from "./peers/watchControlKeys.js";
import { registerMember } from "./registerMember.js";

/**
 * Runs a daemon until the signal aborts and then stops it gracefully.
 *
 * The daemon first reports not ready and hands over its cells. It keeps serving until the load balancer
 * has noticed, then refuses new requests, finishes those in flight and gives up its lease. Its listener for callers
 * stays open until the end, so that the requests that still reach it are answered.
 *
 * @param settings - The validated settings.
 * @param log - The logger.
 * @param signal - Starts the graceful stop.
 *
 * @example
 * await runDaemon(settings, log, signal);
 */
export async function runDaemon(settings: DaemonSettings, log: Logger, signal: AbortSignal): Promise<void> {
    const state = createDaemonState(settings, log);
    const clients: PeerClients = new Map();
    const router = createCellRouter(state, clients);
    const shutdown = new AbortController();
    const ownershipAbort = new AbortController();
    const peerConnections = createPeerConnections(state, clients, shutdown.signal);
    const { listeners, platform, operators } = settings;
    const peerListener = await startPeerListener(state, clients, listeners!.peers);
    const operationsListener = await startOperationsListener(
        state,
        router,
        listeners!.operations,
        operators!,
    );
    const callersListener = await startCallersListener(state, router, listeners!.callers);
    const onControlChange = () => {
        peerConnections.reconcile();
        updateLimitShares(state);
    };
    startBackgroundTasks(state, platform!.vmList, onControlChange, shutdown.signal);
    const ownershipTask = runCellOwnership(state, ownershipAbort.signal);
    log.info("The daemon is running.", { incarnation: state.incarnation });
    await waitForAbort(signal);
    log.info("The daemon stops.");
    state.isStopping = true;
    ownershipAbort.abort();
    // The load balancer notices meanwhile; requests on new and on open connections are still served.
    await pause(NOT_READY_NOTICE_MS);
    state.isDraining = true;
    await Promise.all([ownershipTask, callersListener.finish(DRAIN_TIMEOUT_MS)]);
    shutdown.abort();
    await peerListener.close();
    await operationsListener.close();
    await state.backgroundTasks.waitForAll();
    await callersListener.finish(LAST_ANSWERS_TIMEOUT_MS);
    await callersListener.close();
    log.info("The daemon has stopped.");
}

/** Starts the tasks that keep the daemon's lease and its view of the control keys and the VM list up to date. */
function startBackgroundTasks(
    state: DaemonState,
    vmListAddress: string,
    onControlChange: () => void,
    signal: AbortSignal,
): void {
    const { backgroundTasks, log, store } = state;
    backgroundTasks.start(() => watchControlKeys(state, onControlChange, signal));
    backgroundTasks.start(() => holdLease(store.transport, lease => setMemberLease(state, lease), signal));
    const onVmListFailure = (message: string) =>
        log.warn("The VM list cannot be read. The last known list stays in use.", { error: message });
    backgroundTasks.start(() =>
        pollVmList(vmListAddress, vms => updateVms(state, vms), onVmListFailure, signal)
    );
}

function setMemberLease(state: DaemonState, lease: HeldLease): void {
    state.memberLease = lease;
    state.backgroundTasks.start(() => registerMember(state, lease));
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
