import type { HeldLease } from "@balsamward/coordination";
import { holdLease } from "@balsamward/coordination";
import { pause } from "@balsamward/scheduler/pause";
import type { DaemonSettings } from "@balsamward/schema";
import type { Logger } from "winston";
import type { CallersListener } from "./callers/startCallersListener.js";
import { startCallersListener } from "./callers/startCallersListener.js";
import { updateLimitShares } from "./callers/updateLimitShares.js";
import { runCellOwnership } from "./cells/runCellOwnership.js";
import {
    ADDRESS_WAIT_TIMEOUT_MS,
    DRAIN_TIMEOUT_MS,
    LAST_ANSWERS_TIMEOUT_MS,
    NOT_READY_NOTICE_MS,
} from "./constants.js";
import { createDaemonState } from "./createDaemonState.js";
import type { DaemonState } from "./DaemonState.js";
import { pollVmList } from "./fleet/pollVmList.js";
import { updateVms } from "./fleet/updateVms.js";
import type { OperationsListener } from "./operations/startOperationsListener.js";
import { startOperationsListener } from "./operations/startOperationsListener.js";
import type { CellRouter } from "./peers/CellRouter.js";
import { createCellRouter } from "./peers/CellRouter.js";
import { createPeerConnections } from "./peers/createPeerConnections.js";
import type { PeerClients } from "./peers/maintainPeerConnection.js";
import type { PeerListener } from "./peers/startPeerListener.js";
import { startPeerListener } from "./peers/startPeerListener.js";
import { watchControlKeys } from "./peers/watchControlKeys.js";
import { registerMember } from "./registerMember.js";

/** Options of `runDaemon`. */
export type RunDaemonOptions = {
    /** Called once the daemon listens on all its addresses. */
    readonly onStarted?: () => void;
};

/** The listeners of a daemon. */
type Listeners = {
    readonly peerListener: PeerListener;
    readonly operationsListener: OperationsListener;
    readonly callersListener: CallersListener;
};

/** What the listeners of a daemon need. */
type ListenersOptions = {
    readonly state: DaemonState;
    readonly clients: PeerClients;
    readonly router: CellRouter;
    /** Ends the start. */
    readonly signal: AbortSignal;
};

/**
 * Runs a daemon until the signal aborts and then stops it gracefully.
 *
 * The daemon first reports not ready and hands over its cells. It keeps serving until the load balancer
 * has noticed, then refuses new requests, finishes those in flight and gives up its lease. Its listener for callers
 * stays open until the end, so that the requests that still reach it are answered.
 *
 * @param settings - The validated settings.
 * @param log - The logger.
 * @param signal - Starts the graceful stop; before the daemon listens to callers, it ends the start.
 * @param options - A callback for the end of the start.
 *
 * @example
 * await runDaemon(settings, log, signal);
 */
export async function runDaemon(
    settings: DaemonSettings,
    log: Logger,
    signal: AbortSignal,
    { onStarted = () => {} }: RunDaemonOptions = {},
): Promise<void> {
    const state = createDaemonState(settings, log);
    const clients: PeerClients = new Map();
    const router = createCellRouter(state, clients);
    const shutdown = new AbortController();
    const ownershipAbort = new AbortController();
    const peerConnections = createPeerConnections(state, clients, shutdown.signal);
    const { platform } = settings;
    const listeners = await startListeners(settings, { state, clients, router, signal });
    if (listeners === undefined) {
        log.info("The daemon has stopped.", { stage: "starting" });
        return;
    }
    const { peerListener, operationsListener, callersListener } = listeners;
    const onControlChange = () => {
        peerConnections.reconcile();
        updateLimitShares(state);
    };
    startBackgroundTasks(state, platform!.vmList, onControlChange, shutdown.signal);
    const ownershipTask = runCellOwnership(state, ownershipAbort.signal);
    log.info("The daemon is running.", { incarnation: state.incarnation });
    onStarted();
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

/** Starts the listeners, that for callers last; returns `undefined` if the start is ended before. */
async function startListeners(
    { listeners, operators }: DaemonSettings,
    { state, clients, router, signal }: ListenersOptions,
): Promise<Listeners | undefined> {
    const addressWait = {
        timeoutMs: ADDRESS_WAIT_TIMEOUT_MS,
        log: state.log,
        pause,
        clock: () => performance.now(),
    };
    const listenOptions = { signal, addressWait };
    const { peers, operations, callers } = listeners!;
    try {
        return {
            peerListener: await startPeerListener(state, clients, peers, listenOptions),
            operationsListener: await startOperationsListener(state, router, operations, {
                ...operators!,
                listenOptions,
            }),
            callersListener: await startCallersListener(state, router, callers, listenOptions),
        };
    }
    catch (error) {
        if (signal.aborted) {
            return undefined;
        }
        throw error;
    }
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
    if (signal.aborted) {
        return;
    }
    await new Promise<void>(resolve => {
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
